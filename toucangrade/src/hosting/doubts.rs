//! What the agent can't rule out about its runner: starts of which a copy may still be carried out,
//! ends that no listing shows, and leases of calls to earlier incarnations.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::Hosting;
use super::message::{Fault, Listing};
use super::orders::{RESEND_AFTER, UNREAD_TIMEOUT};
use crate::core::{Moment, Span};
use crate::dispatch::{CALL_LIMIT, Doubts};
use crate::jobs::{End, Incarnation, RunKey};

/// Time for which the age of the fence is reported: longer than any lease that a runner accepts.
const FENCE_REPORTED: Span = Span::secs(30);
/// Delay of an answer above which this process may have been paused before it sent the call.
const ANSWER_MAX_DELAY: Span = Span::secs(1);

/// Sends of the start of one run, as long as one of them has no definite answer.
#[derive(Debug, Default, Serialize)]
struct StartCalls {
    /// Times of the sends that are not answered yet, oldest first.
    open: Vec<Moment>,
    /// Latest time at which a call that got no answer may have been sent.
    lost: Option<Moment>,
    /// Whether an answer is or was overdue.
    overdue: bool,
    /// Number of sends of this process, and the incarnation that the last one was meant for.
    sends: u32,
    target: Option<Incarnation>,
}

impl StartCalls {
    /// Time from which on no copy is carried out any more.
    fn until(&self) -> Moment {
        let last = self.open.last().copied().max(self.lost).unwrap_or(Moment::START);
        last + CALL_LIMIT
    }

    /// Counts the answer to one of the sends. Answers don't say to which one, so that the send that
    /// remains is taken for the later one.
    fn count_answer(&mut self, now: Moment, key: RunKey, definite: bool) {
        let Some(last) = self.open.last().copied() else { return };
        if definite {
            self.open.remove(0);
            return;
        }
        let sent = if now.since(last) < ANSWER_MAX_DELAY { last } else { now };
        self.open.pop();
        self.lost = self.lost.max(Some(sent));
        self.mark_overdue(now, key);
    }

    fn mark_overdue(&mut self, now: Moment, key: RunKey) {
        if std::mem::replace(&mut self.overdue, true) {
            return;
        }
        let Some(target) = &self.target else { return };
        tracing::info!(
            run = %key,
            runner = %target.runner,
            born = target.born,
            sends = self.sends,
            for_ms = self.until().since(now).as_millis(),
            "start unanswered"
        );
    }
}

/// State behind the reported doubts.
#[derive(Debug, Default, Serialize)]
pub(super) struct DoubtState {
    /// Time of this process's first step; calls of an earlier one may take effect for
    /// [`CALL_LIMIT`] more.
    begun: Option<Moment>,
    /// Runs whose start this process has sent until then.
    sent: BTreeSet<RunKey>,
    /// Starts without a definite answer. They outlive the orders and the runner's incarnation, as a
    /// later incarnation, which has seen no fencing token, may carry out a copy too.
    starts: BTreeMap<RunKey, StartCalls>,
    /// Time since which the listings have ends that can't be decoded.
    unread: Option<Moment>,
    /// Number of the last end that was kept from being acknowledged to the current incarnation.
    kept: Option<u64>,
}

impl DoubtState {
    /// Handles the first step of the process.
    pub(super) fn begin(&mut self, now: Moment) {
        self.begun.get_or_insert(now);
    }

    /// Records a send of a start.
    pub(super) fn start_sent(&mut self, now: Moment, key: RunKey, target: &Incarnation) {
        if self.follows_process(now) {
            self.sent.insert(key);
        }
        let calls = self.starts.entry(key).or_default();
        calls.open.push(now);
        calls.sends += 1;
        calls.target = Some(target.clone());
    }

    /// Records the answer to a start. It may arrive after a listing has confirmed the order.
    pub(super) fn start_answered(&mut self, now: Moment, key: RunKey, result: Result<(), Fault>) {
        let Some(calls) = self.starts.get_mut(&key) else { return };
        calls.count_answer(now, key, result != Err(Fault::Silent));
        if calls.open.is_empty() && calls.lost.is_none() {
            self.starts.remove(&key);
        }
    }

    /// Records a listing of the current incarnation. An earlier process may have sent the starts of
    /// the runs that this one has not started.
    pub(super) fn take_listing(&mut self, now: Moment, listing: &Listing) {
        self.unread = if listing.unread { self.unread.or(Some(now)) } else { None };
        let Some(begun) = self.begun.filter(|_| self.follows_process(now)) else { return };
        let running = listing.rows.iter().map(|row| row.key);
        for key in running.filter(|key| !self.sent.contains(key)) {
            let calls = StartCalls { lost: Some(begun), overdue: true, ..StartCalls::default() };
            self.starts.entry(key).or_insert(calls);
        }
    }

    /// Resets what belongs to the previous incarnation.
    pub(super) fn forget_runner(&mut self) {
        (self.unread, self.kept) = (None, None);
    }

    /// Finds overdue answers and drops what is ruled out.
    pub(super) fn tick(&mut self, now: Moment) {
        self.starts.retain(|_, calls| now < calls.until());
        for (key, calls) in &mut self.starts {
            if calls.open.first().is_some_and(|at| now.since(*at) >= RESEND_AFTER) {
                calls.mark_overdue(now, *key);
            }
        }
        if !self.follows_process(now) {
            self.sent.clear();
        }
    }

    /// Whether calls of an earlier process may still take effect.
    fn follows_process(&self, now: Moment) -> bool {
        self.begun.is_some_and(|begun| now.since(begun) < CALL_LIMIT)
    }

    /// Time for which a copy of the start of a run may still be carried out. While the runner lists
    /// the run, that includes an answer that isn't overdue, as nothing else is known of the call.
    fn start_doubt(&self, now: Moment, key: RunKey, listed: bool) -> Option<Span> {
        let calls = self.starts.get(&key).filter(|calls| calls.overdue || listed)?;
        Some(calls.until().since(now)).filter(|remaining| *remaining > Span::ZERO)
    }

    /// The same for starts that this process has sent. What an earlier one may have sent counts only
    /// while the run goes on: after each restart of an agent all ends would be in doubt.
    fn own_doubt(&self, now: Moment, key: RunKey, listed: bool) -> Option<Span> {
        let sent = self.starts.get(&key).is_some_and(|calls| calls.sends > 0);
        self.start_doubt(now, key, listed).filter(|_| sent)
    }

    fn is_partial(&self, now: Moment, listing: &Listing) -> bool {
        let unread = self.unread.is_some_and(|since| now.since(since) < UNREAD_TIMEOUT);
        !listing.complete || unread
    }
}

impl Hosting {
    /// Number of the first end as done that the leader has recorded and whose start may still be
    /// carried out. A copy that starts after the acknowledgement runs a task again that is done for
    /// good. An incomplete listing is acknowledged nevertheless, as it hides ends until then.
    pub(super) fn kept_end(&mut self, now: Moment) -> Option<u64> {
        let listing = &self.current.as_ref()?.listing;
        let ended = listing.ended.iter().filter(|ended| listing.complete && ended.end == End::Done);
        let doubt = |key| self.doubts.own_doubt(now, key, true);
        let kept = ended.filter(|ended| ended.number <= self.noted);
        let kept = kept.filter_map(|ended| Some((ended.number, ended.key, doubt(ended.key)?)));
        let (number, key, remaining) = kept.min_by_key(|(number, ..)| *number)?;
        if self.doubts.kept.replace(number) != Some(number) {
            tracing::info!(run = %key, number, for_ms = remaining.as_millis(), "end kept");
        }
        Some(number)
    }

    /// What this agent can't rule out, for the next report.
    pub(super) fn build_doubts(&self, now: Moment) -> Doubts {
        let current = self.fenced();
        let fence_age = current.and_then(|current| current.fenced).map(|at| now.since(at));
        let listed = self.listed_runs();
        let rows = current.iter().flat_map(|current| &current.listing.rows);
        let running: BTreeSet<RunKey> = rows.map(|row| row.key).collect();
        let doubt = |key: &RunKey| {
            let remaining = match running.contains(key) {
                true => self.doubts.start_doubt(now, *key, true),
                false => self.doubts.own_doubt(now, *key, listed.contains(key)),
            };
            remaining.map(|remaining| (*key, remaining))
        };
        Doubts {
            partial: current.is_some_and(|current| self.doubts.is_partial(now, &current.listing)),
            fenced: fence_age.filter(|age| *age < FENCE_REPORTED),
            starts: self.doubts.starts.keys().filter_map(doubt).collect(),
        }
    }
}
