//! Start and stop orders of the leader, resent until a listing shows their effect or the runner has
//! confirmed that it won't carry them out.

use std::collections::BTreeSet;

use serde::Serialize;

use super::Hosting;
use super::message::{Effect, Fault};
use crate::core::{Moment, Span};
use crate::dispatch::{CALL_LIMIT, Denial, Orders, Start};
use crate::jobs::RunKey;

/// Time after which an unanswered order is sent again.
pub(super) const RESEND_AFTER: Span = Span::millis(250);
/// Number of times that a start is sent before it is given up and stopped.
const SENDS_LIMIT: u32 = 4;
/// Time after which an end that can't be decoded no longer keeps a run unknown. It may never be
/// forgotten, if no later run ends on the runner.
pub(super) const UNREAD_TIMEOUT: Span = Span::secs(10);
/// Maximum number of orders that wait for an answer at once, which bounds the connections to the
/// runner.
const OPEN_LIMIT: usize = 4;

/// An order whose effect is not confirmed yet.
#[derive(Debug, Serialize)]
pub(super) struct PendingOrder {
    pub(super) stage: Stage,
    /// Time of the last send; `None` while it waits to be sent.
    sent: Option<Moment>,
    /// Number of sends so far.
    sends: u32,
    /// Whether a send got no answer, so that the start may still be carried out late.
    uncertain: bool,
    /// Reason reported to the leader once the run can't start any more.
    denial: Denial,
}

#[derive(Debug, Serialize)]
pub(super) enum Stage {
    /// The start is to be sent or was not answered yet.
    Start(Box<Start>),
    /// The runner confirmed the start; a later listing has to show the run.
    Started { at: Moment },
    /// The stop is to be sent or was not answered yet. It also prevents a start that is still to
    /// come.
    Stop,
    /// The runner confirmed the stop or refused the start; a later listing has to lack the run.
    Stopped { at: Moment },
}

impl PendingOrder {
    pub(super) fn new(stage: Stage, denial: Denial) -> Self {
        Self { stage, sent: None, sends: 0, uncertain: false, denial }
    }

    pub(super) fn is_stop(&self) -> bool {
        matches!(self.stage, Stage::Stop | Stage::Stopped { .. })
    }

    fn awaits_answer(&self, now: Moment) -> bool {
        matches!(self.stage, Stage::Start(_) | Stage::Stop)
            && self.sent.is_some_and(|sent| now.since(sent) < RESEND_AFTER)
    }
}

impl Hosting {
    /// Takes over the leader's orders. Orders in answer to a report on an earlier runner are
    /// dropped.
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
        // Send the next report at once: the leader holds it until it has further orders.
        self.report_now |= newest && orders.until.is_some();
        self.until = self.until.max(orders.until);
        self.noted = self.noted.max(orders.noted);
        if newest && orders.until.is_some() {
            self.amnesia = false;
        }
        for (key, profile) in orders.profiles {
            // An earlier process of the agent may have set another share at the runner.
            self.pacing.mark_unconfirmed(key, Moment::START);
            self.profiles.insert(key, profile);
        }
        if let Some(late) = orders.late {
            self.pacing.set_late(late);
        }
        if let Some(table) = orders.table {
            self.pacing.set_table(*table);
        }
        let listed = self.listed_runs();
        for start in orders.starts {
            let key = start.key;
            if listed.contains(&key)
                || self.pending.contains_key(&key)
                || self.denied.contains_key(&key)
            {
                continue;
            }
            self.profiles.insert(key, start.profile.clone());
            let stage = Stage::Start(Box::new(start));
            self.pending.insert(key, PendingOrder::new(stage, Denial::Stopped));
        }
        for key in orders.stops {
            if !self.pending.get(&key).is_some_and(PendingOrder::is_stop) {
                self.pending.insert(key, PendingOrder::new(Stage::Stop, Denial::Stopped));
            }
        }
    }

    /// Sends waiting orders, up to `OPEN_LIMIT` unanswered ones.
    pub(super) fn send_orders(&mut self, now: Moment) {
        let Some(target) = self.target() else { return };
        let open = self.pending.values().filter(|h| h.awaits_answer(now)).count();
        let mut free = OPEN_LIMIT.saturating_sub(open);
        let lease_end = self.until.unwrap_or_default();
        let certain = self.is_confirmed(now);
        for (key, order) in &mut self.pending {
            if free == 0 {
                return;
            }
            if order.sent.is_some() {
                continue;
            }
            let target = target.clone();
            let effect = match &order.stage {
                Stage::Start(_) if !certain => continue,
                Stage::Start(start) => {
                    self.doubts.start_sent(now, *key, &target.incarnation);
                    Effect::Start { target, start: start.clone(), lease_end }
                },
                Stage::Stop => Effect::Stop { target, key: *key },
                Stage::Started { .. } | Stage::Stopped { .. } => continue,
            };
            order.sent = Some(now);
            order.sends += 1;
            free -= 1;
            self.out.push(effect);
        }
    }

    /// Marks orders that got no answer within `RESEND_AFTER` to be sent again.
    pub(super) fn retry_orders(&mut self, now: Moment) {
        for (key, order) in &mut self.pending {
            let waited = order.sent.is_some_and(|sent| now.since(sent) >= RESEND_AFTER);
            let open = matches!(order.stage, Stage::Start(_) | Stage::Stop);
            if waited && open {
                handle_timeout(*key, order);
            }
        }
    }

    pub(super) fn started(&mut self, now: Moment, key: RunKey, result: Result<(), Fault>) {
        self.doubts.start_answered(now, key, result);
        let Some(order) = self.pending.get_mut(&key) else { return };
        if !matches!(order.stage, Stage::Start(_)) {
            return;
        }
        match result {
            Ok(()) => {
                order.stage = Stage::Started { at: now };
                self.pace_new(key);
            },
            Err(Fault::Silent) => handle_timeout(key, order),
            // The run has ended already, which a listing shows, or was stopped before it began.
            Err(Fault::Denied(Denial::Old)) => {
                order.denial = Denial::Old;
                order.stage = Stage::Stopped { at: now };
            },
            Err(fault) => {
                order.denial = match fault {
                    Fault::Denied(denial) => denial,
                    Fault::Gone | Fault::Replaced | Fault::Silent => Denial::Unhealthy,
                };
                if order.uncertain {
                    (order.stage, order.sent) = (Stage::Stop, None);
                } else if self.current.as_ref().is_some_and(|c| c.listing.shows_all()) {
                    self.deny(now, key);
                } else {
                    // An earlier start may have been carried out, and its end not be listed yet.
                    order.stage = Stage::Stopped { at: now };
                }
            },
        }
    }

    /// Sends the initial share of a started run, so that it is slowed down before the first figures
    /// show which tasks it disturbs.
    fn pace_new(&mut self, key: RunKey) {
        let Some(target) = self.target() else { return };
        let Some(profile) = self.profiles.get(&key) else { return };
        if let Some(percent) = self.pacing.admit(key, profile) {
            self.out.push(Effect::Pace { target, key, percent });
        }
    }

    /// Handles a failed pace call: the share is sent again. If there was no answer, it is repeated
    /// until the call can't take effect after newer ones any more.
    pub(super) fn paced(&mut self, now: Moment, key: RunKey, result: Result<(), Fault>) {
        if let Err(fault) = result {
            let late = if fault == Fault::Silent { CALL_LIMIT } else { Span::ZERO };
            self.pacing.mark_unconfirmed(key, now + late);
        }
    }

    pub(super) fn stopped(&mut self, now: Moment, key: RunKey, result: Result<(), Fault>) {
        let Some(order) = self.pending.get_mut(&key) else { return };
        if !matches!(order.stage, Stage::Stop) {
            return;
        }
        // A failed stop is sent again on a later tick.
        if result.is_ok() {
            order.stage = Stage::Stopped { at: now };
        }
    }

    /// Removes orders whose effect the last listing shows. A listing that was requested at `asked`
    /// can show the lack of a run only if the runner confirmed the order before, and if it has all
    /// ends.
    pub(super) fn resolve_orders(&mut self, asked: Moment) {
        let Some(current) = &self.current else { return };
        let answered = current.answered;
        let running: BTreeSet<RunKey> = current.listing.rows.iter().map(|row| row.key).collect();
        let ended: BTreeSet<RunKey> = current.listing.ended.iter().map(|ended| ended.key).collect();
        let (complete, readable) = (current.listing.complete, current.listing.shows_all());
        let lacked = |key: &RunKey, at: Moment| {
            let known = readable || (complete && asked > at + UNREAD_TIMEOUT);
            asked > at && known && !running.contains(key)
        };
        let mut gone = Vec::new();
        self.pending.retain(|key, order| match order.stage {
            Stage::Start(_) => !running.contains(key) && !ended.contains(key),
            Stage::Started { at } => {
                !running.contains(key) && !ended.contains(key) && !lacked(key, at)
            },
            Stage::Stop => !ended.contains(key),
            Stage::Stopped { at } => {
                if ended.contains(key) {
                    return false;
                }
                if lacked(key, at) {
                    gone.push(*key);
                    return true;
                }
                // Stopping a run takes some time; after that the stop was lost and is sent again.
                if running.contains(key) && asked > at + RESEND_AFTER + RESEND_AFTER {
                    (order.stage, order.sent) = (Stage::Stop, None);
                }
                true
            },
        });
        for key in gone {
            self.deny(answered, key);
        }
    }

    /// Replaces an order by a denial, which reports to the leader that the run will never start.
    fn deny(&mut self, now: Moment, key: RunKey) {
        let Some(order) = self.pending.remove(&key) else { return };
        let unread = self.current.as_ref().is_some_and(|current| current.listing.unread);
        tracing::info!(run = %key, denial = ?order.denial, sends = order.sends, unread, "not started");
        self.denied.insert(key, (order.denial, now));
        self.report_now = true;
    }
}

/// Schedules a resend of an unanswered order. After `SENDS_LIMIT` sends a start becomes a stop, as
/// it may still be carried out.
fn handle_timeout(key: RunKey, order: &mut PendingOrder) {
    order.sent = None;
    if matches!(order.stage, Stage::Start(_)) {
        order.uncertain = true;
        if order.sends >= SENDS_LIMIT {
            tracing::info!(
                run = %key,
                sends = order.sends,
                "no answer to the start, stopping the run"
            );
            order.denial = Denial::Silent;
            order.stage = Stage::Stop;
        }
    }
}
