//! Announcements as they are heard, and which of them names the runner.
//!
//! Anybody may announce a runner, so an announcement only says where to ask. The runner is the one
//! that answered last, and it stays the one for as long as it answers.

use serde::Serialize;

use super::message::{Announcement, Listing, Target};
use super::{Hosting, Known};
use crate::core::{Moment, Span};
use crate::jobs::Life;

/// Runners other than the known one whose announcements are kept, so that a writer of many leaves
/// little behind.
const OTHERS_LIMIT: usize = 8;
/// Time for which an announcement that isn't repeated is kept; runners repeat theirs every 1.5 s.
const OTHERS_KEPT: Span = Span::secs(10);

/// The announcements of one life of a runner at one address.
#[derive(Debug, Serialize)]
pub(super) struct Heard {
    pub(super) announced: Announcement,
    /// One that says other things of the same life, which don't change in it.
    doubt: Option<Announcement>,
    /// Whether such a one was logged.
    doubted: bool,
    /// Number of the last one received. Compared with the one before rather than with the greatest,
    /// so that one false number doesn't outdate all that follow.
    sequence: u64,
    at: Moment,
}

impl Heard {
    fn new(now: Moment, announced: Announcement) -> Self {
        Self { sequence: announced.sequence, announced, doubt: None, doubted: false, at: now }
    }

    /// Whether the announcement is of the same life at the same address.
    fn concerns(&self, other: &Announcement) -> bool {
        self.announced.life == other.life && self.announced.addr == other.addr
    }

    /// Takes in a further announcement; true when it changed something.
    fn hear(&mut self, now: Moment, new: Announcement) -> bool {
        self.at = now;
        if new.sequence <= std::mem::replace(&mut self.sequence, new.sequence) {
            return false;
        }
        // What a runner can't change in its life counts once it was said twice in a row.
        let doubt = self.doubt.take();
        if !same(&self.announced, &new) && !doubt.is_some_and(|doubt| same(&doubt, &new)) {
            if !std::mem::replace(&mut self.doubted, true) {
                tracing::info!(
                    runner = %new.life.runner,
                    service = &*new.service,
                    centre = &*new.centre,
                    labels = ?new.labels,
                    capacity = ?new.capacity,
                    "announcement that contradicts others of the same runner"
                );
            }
            self.doubt = Some(new);
            return false;
        }
        let changed = self.announced.draining != new.draining || !same(&self.announced, &new);
        self.announced = new;
        changed
    }
}

/// Whether two announcements agree in what doesn't change during a life.
fn same(one: &Announcement, other: &Announcement) -> bool {
    let facts = |a: &Announcement| (a.service.clone(), a.centre.clone(), a.labels.clone());
    facts(one) == facts(other) && one.capacity == other.capacity
}

impl Hosting {
    /// Takes in an announcement, which may be late or another writer's.
    pub(super) fn announce(&mut self, now: Moment, announced: Announcement) {
        if let Some(known) = &mut self.known
            && known.heard.concerns(&announced)
        {
            self.news |= known.heard.hear(now, announced);
            return;
        }
        if let Some(other) = self.others.iter_mut().find(|other| other.concerns(&announced)) {
            other.hear(now, announced);
            return;
        }
        if self.others.len() >= OTHERS_LIMIT {
            let oldest = self.others.iter().enumerate().min_by_key(|(_, other)| other.at);
            if let Some((oldest, _)) = oldest {
                self.others.remove(oldest);
            }
        } else {
            // A writer of many announcements doesn't get a line for each.
            tracing::info!(
                runner = %announced.life.runner,
                born = announced.life.born,
                addr = %announced.addr,
                service = &*announced.service,
                "runner announced"
            );
        }
        self.others.push(Heard::new(now, announced));
        if self.seeking {
            // It is asked next and at once, as it may be the runner's new life.
            self.turn = usize::from(self.known.is_some()) + self.others.len() - 1;
            self.failed = None;
        }
    }

    /// Forgets announcements that were not repeated.
    pub(super) fn expire_others(&mut self, now: Moment) {
        self.others.retain(|other| now.since(other.at) < OTHERS_KEPT);
    }

    /// Whom to ask for the next listing: the known runner as long as it answers, else all in turn.
    pub(super) fn whom(&mut self) -> Option<Target> {
        if !self.seeking {
            return self.target();
        }
        let known = self.known.iter().map(|known| &known.heard);
        let all: Vec<&Heard> = known.chain(&self.others).collect();
        let at = self.turn.checked_rem(all.len())?;
        let Announcement { addr, life, .. } = &all[at].announced;
        let target = Target { addr: *addr, life: life.clone(), token: self.token };
        self.turn = at + 1;
        Some(target)
    }

    /// Makes the life that answered the known one; false when no announcement tells of it.
    pub(super) fn settle(&mut self, now: Moment, asked: &Target, listing: &Listing) -> bool {
        let born = if listing.born == 0 { asked.life.born } else { listing.born };
        let life = Life { runner: asked.life.runner.clone(), born };
        let answered =
            |heard: &Heard| heard.announced.life == life && heard.announced.addr == asked.addr;
        if self.known.as_ref().is_some_and(|known| answered(&known.heard)) {
            return true;
        }
        let Some(at) = self.others.iter().position(answered) else { return false };
        let heard = self.others.remove(at);
        let announced = &heard.announced;
        tracing::info!(
            runner = %announced.life.runner,
            born,
            addr = %announced.addr,
            service = &*announced.service,
            "runner found"
        );
        match &mut self.known {
            Some(known) if known.heard.announced.life == life => known.heard = heard,
            _ => {
                self.forget_runner();
                // Orders for the life before, which carry lower tokens, are refused by this one.
                self.token = self.token.saturating_add(1);
                let listing = Listing::default();
                self.known = Some(Known { heard, listing, answered: now });
            },
        }
        self.news = true;
        true
    }
}
