//! Received announcements, and the choice of the current runner among the announced ones.
//!
//! Anybody may announce a runner, so an announcement only makes it a candidate for a listing. The
//! current runner is the one that answered last, and stays so for as long as it answers.

use serde::Serialize;

use super::message::{Announcement, Listing, Target};
use super::{CurrentRunner, Hosting};
use crate::core::{Moment, Span};
use crate::jobs::Incarnation;

/// Maximum number of announced runners kept besides the current one, so that a sender of many
/// announcements uses little memory.
const OTHERS_LIMIT: usize = 8;
/// Time after which an announcement that isn't repeated expires; runners repeat theirs every 1.5 s.
const OTHERS_RETENTION: Span = Span::secs(10);

/// A runner that was announced: one incarnation at one address.
#[derive(Debug, Serialize)]
pub(super) struct Candidate {
    /// The announcement in use.
    pub(super) announced: Announcement,
    /// The last announcement, if it differs from the one in use in attributes that are fixed for a
    /// incarnation.
    #[serde(rename = "doubt")]
    conflict: Option<Announcement>,
    /// Whether a conflicting announcement was logged already.
    #[serde(rename = "doubted")]
    conflict_logged: bool,
    /// Sequence number of the last announcement received. The next one is compared with this rather
    /// than with the greatest, so that a single false number doesn't outdate all that follow.
    sequence: u64,
    /// Time of the last announcement.
    at: Moment,
}

impl Candidate {
    fn new(now: Moment, announced: Announcement) -> Self {
        Self {
            sequence: announced.sequence,
            announced,
            conflict: None,
            conflict_logged: false,
            at: now,
        }
    }

    /// Time for which the runner will still be cold, by its last announcement.
    pub(super) fn cold(&self, now: Moment) -> Span {
        let cold = self.announced.cold.as_micros();
        Span::micros(cold.saturating_sub(now.since(self.at).as_micros()))
    }

    /// Whether the announcement has the same incarnation and address.
    fn matches(&self, other: &Announcement) -> bool {
        self.announced.incarnation == other.incarnation && self.announced.addr == other.addr
    }

    /// Applies a further announcement; returns true if the one in use changed.
    fn update(&mut self, now: Moment, new: Announcement) -> bool {
        self.at = now;
        if new.sequence <= std::mem::replace(&mut self.sequence, new.sequence) {
            return false;
        }
        // Changes of attributes that are fixed for an incarnation are accepted if two consecutive
        // announcements agree on them.
        let conflict = self.conflict.take();
        if !same_attributes(&self.announced, &new)
            && !conflict.is_some_and(|conflict| same_attributes(&conflict, &new))
        {
            if !std::mem::replace(&mut self.conflict_logged, true) {
                tracing::info!(
                    runner = %new.incarnation.runner,
                    service = &*new.service,
                    centre = &*new.centre,
                    labels = ?new.labels,
                    capacity = ?new.capacity,
                    "announcement that contradicts others of the same runner"
                );
            }
            self.conflict = Some(new);
            return false;
        }
        let changed =
            self.announced.draining != new.draining || !same_attributes(&self.announced, &new);
        self.announced = new;
        changed
    }
}

/// Whether two announcements agree in the attributes that are fixed for an incarnation.
fn same_attributes(one: &Announcement, other: &Announcement) -> bool {
    let attributes = |a: &Announcement| (a.service.clone(), a.centre.clone(), a.labels.clone());
    attributes(one) == attributes(other) && one.capacity == other.capacity
}

impl Hosting {
    /// Handles an announcement, which may be delayed or sent by another process than the runner.
    pub(super) fn announce(&mut self, now: Moment, announced: Announcement) {
        if let Some(current) = &mut self.current
            && current.candidate.matches(&announced)
        {
            self.report_now |= current.candidate.update(now, announced);
            return;
        }
        if let Some(other) = self.others.iter_mut().find(|other| other.matches(&announced)) {
            other.update(now, announced);
            return;
        }
        if self.others.len() >= OTHERS_LIMIT {
            let oldest = self.others.iter().enumerate().min_by_key(|(_, other)| other.at);
            if let Some((oldest, _)) = oldest {
                self.others.remove(oldest);
            }
        } else {
            // Logged only below the limit, so that a sender of many doesn't fill the log.
            tracing::info!(
                runner = %announced.incarnation.runner,
                born = announced.incarnation.born,
                addr = %announced.addr,
                service = &*announced.service,
                "runner announced"
            );
        }
        self.others.push(Candidate::new(now, announced));
        if self.seeking {
            // Ask it next, without the retry delay, as it may be the new incarnation of the runner.
            self.turn = usize::from(self.current.is_some()) + self.others.len() - 1;
            self.failed = None;
        }
    }

    /// Drops announced runners whose announcements were not repeated.
    pub(super) fn expire_others(&mut self, now: Moment) {
        self.others.retain(|other| now.since(other.at) < OTHERS_RETENTION);
    }

    /// Target of the next listing: the current runner as long as it answers, otherwise all
    /// announced runners in turn.
    pub(super) fn list_target(&mut self) -> Option<Target> {
        if !self.seeking {
            return self.target();
        }
        let current = self.current.iter().map(|current| &current.candidate);
        let all: Vec<&Candidate> = current.chain(&self.others).collect();
        let at = self.turn.checked_rem(all.len())?;
        let Announcement { addr, incarnation, .. } = &all[at].announced;
        let target = Target { addr: *addr, incarnation: incarnation.clone(), token: self.token };
        self.turn = at + 1;
        Some(target)
    }

    /// Makes the incarnation that answered a listing the current one; returns false if it was not
    /// announced.
    pub(super) fn adopt(&mut self, now: Moment, asked: &Target, listing: &Listing) -> bool {
        let born = if listing.born == 0 { asked.incarnation.born } else { listing.born };
        let found = Incarnation { runner: asked.incarnation.runner.clone(), born };
        let answered = |candidate: &Candidate| {
            candidate.announced.incarnation == found && candidate.announced.addr == asked.addr
        };
        if self.current.as_ref().is_some_and(|current| answered(&current.candidate)) {
            return true;
        }
        let Some(at) = self.others.iter().position(answered) else { return false };
        let candidate = self.others.remove(at);
        let announced = &candidate.announced;
        tracing::info!(
            runner = %announced.incarnation.runner,
            born,
            addr = %announced.addr,
            service = &*announced.service,
            "runner found"
        );
        match &mut self.current {
            Some(old) if old.candidate.announced.incarnation == found => {
                old.candidate = candidate;
                self.report_now = true;
            },
            _ => {
                self.forget_runner();
                // Calls meant for the previous incarnation carry lower tokens, so this one refuses
                // them once it has answered a call with the new token.
                self.token = self.token.saturating_add(1);
                let (listing, fenced) = (Listing::default(), None);
                self.current = Some(CurrentRunner { candidate, listing, answered: now, fenced });
            },
        }
        true
    }
}
