//! Orders of the leader, until the runner has carried them out or confirmed that it won't.

use serde::Serialize;

use super::Hosting;
use super::message::{Effect, Fault};
use crate::core::{Moment, Span};
use crate::dispatch::{Denial, Orders, Start};
use crate::jobs::RunKey;

/// Time after which an order without an answer is sent again.
const RESEND: Span = Span::millis(250);
/// Times that a start is sent before it is given up.
const SENDS_LIMIT: u32 = 4;
/// Latest time after which a call without an answer has been carried out, or never is.
const CARRIED_OUT: Span = Span::secs(12);
/// Orders that may be open at the runner at once, which bounds the connections to it.
const OPEN_LIMIT: usize = 4;

/// State of one order.
#[derive(Debug, Serialize)]
pub(super) struct Handling {
    pub(super) stage: Stage,
    /// When it was last sent; `None` while it waits for its turn.
    sent: Option<Moment>,
    sends: u32,
    /// Whether a start may still be carried out late.
    uncertain: bool,
    /// What the leader is told once the run can't start any more.
    denial: Denial,
}

#[derive(Debug, Serialize)]
pub(super) enum Stage {
    /// The run is to be started.
    Start(Box<Start>),
    /// The runner has confirmed the start, a later listing will show it.
    Started { at: Moment },
    /// The run is to be stopped, or kept from being started.
    Stop,
    /// The runner has confirmed the stop, a later listing will show it.
    Stopped { at: Moment },
}

impl Handling {
    fn new(stage: Stage, denial: Denial) -> Self {
        Self { stage, sent: None, sends: 0, uncertain: false, denial }
    }

    pub(super) fn stops(&self) -> bool {
        matches!(self.stage, Stage::Stop | Stage::Stopped { .. })
    }

    fn waits_for_answer(&self, now: Moment) -> bool {
        matches!(self.stage, Stage::Start(_) | Stage::Stop)
            && self.sent.is_some_and(|sent| now.since(sent) < RESEND)
    }
}

impl Hosting {
    pub(super) fn ordered(&mut self, seq: u64, orders: Option<Box<Orders>>) {
        let newest = self.reporting.is_some_and(|(sent, _)| sent == seq);
        if newest {
            self.reporting = None;
        }
        let Some(orders) = orders else { return };
        if seq <= self.outdated {
            tracing::info!(seq, starts = orders.starts.len(), "orders for an earlier runner");
            return;
        }
        // The next report waits at the leader for further orders.
        self.news |= newest && orders.until.is_some();
        self.until = self.until.max(orders.until);
        self.noted = self.noted.max(orders.noted);
        if newest && orders.until.is_some() {
            self.amnesia = false;
        }
        for (key, nature) in orders.natures {
            // An earlier process may have told the runner another share.
            self.pacing.doubt(key, Moment::START);
            self.natures.insert(key, nature);
        }
        if let Some(late) = orders.late {
            self.pacing.note_late(late);
        }
        if let Some(table) = orders.table {
            self.pacing.learn(*table);
        }
        let listed = self.listed_runs();
        for start in orders.starts {
            let key = start.key;
            if listed.contains(&key)
                || self.handling.contains_key(&key)
                || self.denied.contains_key(&key)
            {
                continue;
            }
            self.natures.insert(key, start.nature.clone());
            let stage = Stage::Start(Box::new(start));
            self.handling.insert(key, Handling::new(stage, Denial::Stopped));
        }
        for key in orders.stops {
            if !self.handling.get(&key).is_some_and(Handling::stops) {
                self.handling.insert(key, Handling::new(Stage::Stop, Denial::Stopped));
            }
        }
    }

    /// Sends orders whose turn has come.
    pub(super) fn send_orders(&mut self, now: Moment) {
        let Some(target) = self.target() else { return };
        let open = self.handling.values().filter(|h| h.waits_for_answer(now)).count();
        let mut free = OPEN_LIMIT.saturating_sub(open);
        let until = self.until.unwrap_or_default();
        let certain = self.certain(now);
        for (key, handling) in &mut self.handling {
            if free == 0 {
                return;
            }
            if handling.sent.is_some() {
                continue;
            }
            let target = target.clone();
            let effect = match &handling.stage {
                Stage::Start(_) if !certain => continue,
                Stage::Start(start) => Effect::Start { target, start: start.clone(), until },
                Stage::Stop => Effect::Stop { target, key: *key },
                Stage::Started { .. } | Stage::Stopped { .. } => continue,
            };
            handling.sent = Some(now);
            handling.sends += 1;
            free -= 1;
            self.out.push(effect);
        }
    }

    /// Lets orders be sent again that got no answer.
    pub(super) fn retry_orders(&mut self, now: Moment) {
        for (key, handling) in &mut self.handling {
            let waited = handling.sent.is_some_and(|sent| now.since(sent) >= RESEND);
            let open = matches!(handling.stage, Stage::Start(_) | Stage::Stop);
            if waited && open {
                give_no_answer(*key, handling);
            }
        }
    }

    pub(super) fn started(&mut self, now: Moment, key: RunKey, result: Result<(), Fault>) {
        let Some(handling) = self.handling.get_mut(&key) else { return };
        if !matches!(handling.stage, Stage::Start(_)) {
            return;
        }
        match result {
            Ok(()) => {
                handling.stage = Stage::Started { at: now };
                self.pace_new(key);
            },
            Err(Fault::Silent) => give_no_answer(key, handling),
            // Whatever ended it is in the list of ends, or it was stopped before it began.
            Err(Fault::Denied(Denial::Old)) => {
                handling.denial = Denial::Old;
                handling.stage = Stage::Stopped { at: now };
            },
            Err(fault) => {
                handling.denial = match fault {
                    Fault::Denied(denial) => denial,
                    Fault::Gone | Fault::Replaced | Fault::Silent => Denial::Unhealthy,
                };
                if handling.uncertain {
                    (handling.stage, handling.sent) = (Stage::Stop, None);
                } else {
                    self.deny(now, key);
                }
            },
        }
    }

    /// Slows a run down at its start rather than after the first figures show what it disturbs.
    fn pace_new(&mut self, key: RunKey) {
        let Some(target) = self.target() else { return };
        let Some(nature) = self.natures.get(&key) else { return };
        if let Some(percent) = self.pacing.admit(key, nature) {
            self.out.push(Effect::Pace { target, key, percent });
        }
    }

    /// A share that the runner may not have taken is told again, and while a call without an answer
    /// may be carried out after newer ones.
    pub(super) fn paced(&mut self, now: Moment, key: RunKey, result: Result<(), Fault>) {
        if let Err(fault) = result {
            let late = if fault == Fault::Silent { CARRIED_OUT } else { Span::ZERO };
            self.pacing.doubt(key, now + late);
        }
    }

    pub(super) fn stopped(&mut self, now: Moment, key: RunKey, result: Result<(), Fault>) {
        let Some(handling) = self.handling.get_mut(&key) else { return };
        if !matches!(handling.stage, Stage::Stop) {
            return;
        }
        // A stop without an answer is sent again on a later tick.
        if result.is_ok() {
            handling.stage = Stage::Stopped { at: now };
        }
    }

    /// Ends orders that a listing answers, if it was asked for after the runner confirmed them.
    pub(super) fn settle_orders(&mut self, asked: Moment) {
        let Some(known) = &self.known else { return };
        let answered = known.answered;
        let running: Vec<RunKey> = known.listing.rows.iter().map(|row| row.key).collect();
        let ended: Vec<RunKey> = known.listing.ended.iter().map(|ended| ended.key).collect();
        let mut gone = Vec::new();
        self.handling.retain(|key, handling| match handling.stage {
            Stage::Start(_) => !running.contains(key) && !ended.contains(key),
            Stage::Started { at } => !running.contains(key) && !ended.contains(key) && asked <= at,
            Stage::Stop => !ended.contains(key),
            Stage::Stopped { at } => {
                if ended.contains(key) {
                    return false;
                }
                if asked > at && !running.contains(key) {
                    gone.push(*key);
                    return true;
                }
                // The runner takes a while to stop; a stop that it lost is sent again.
                if asked > at + RESEND + RESEND {
                    (handling.stage, handling.sent) = (Stage::Stop, None);
                }
                true
            },
        });
        for key in gone {
            self.deny(answered, key);
        }
    }

    /// Tells the leader that a run will never start.
    fn deny(&mut self, now: Moment, key: RunKey) {
        let Some(handling) = self.handling.remove(&key) else { return };
        tracing::info!(run = %key, denial = ?handling.denial, sends = handling.sends, "not started");
        self.denied.insert(key, (handling.denial, now));
        self.news = true;
    }
}

/// Sends an order again, or keeps a start from being carried out after all.
fn give_no_answer(key: RunKey, handling: &mut Handling) {
    handling.sent = None;
    if matches!(handling.stage, Stage::Start(_)) {
        handling.uncertain = true;
        if handling.sends >= SENDS_LIMIT {
            tracing::info!(run = %key, sends = handling.sends, "start got no answer");
            handling.denial = Denial::Silent;
            handling.stage = Stage::Stop;
        }
    }
}
