//! Simulated agents and runners, and the handling of their responses at entries.

use super::*;

impl Model {
    /// Sends a start to an agent and counts the call.
    pub(super) fn send_start(&mut self, entry: usize, attempt: u32, target: &Target, start: Start) {
        // Agent n has port n + 1.
        let agent = usize::from(target.addr.port()) - 1;
        self.out.calls += 1;
        // Each data centre has one entry, and agent n is in centre n modulo their number.
        if agent as u64 % self.run.company.centres != entry as u64 {
            self.out.across += 1;
        }
        // The fault only affects agent 0.
        if self.faulty && agent == 0 {
            self.out.last_call = self.now.since(FAULT_AT);
        }
        let delay = self.delay(entry, agent);
        self.schedule(delay, Event::Start { entry, agent, attempt, sent: self.now, start });
    }

    /// Registers a call that waits for a response, and returns its id.
    pub(super) fn track_call(&mut self, call: Call) -> u64 {
        self.sequence += 1;
        self.calls.insert(self.sequence, call);
        self.sequence
    }

    /// Delivers a message to an agent unless a fault prevents it.
    pub(super) fn deliver(&mut self, agent: usize, call: u64, message: admission::Message) {
        if self.affected_by(agent, &[Fault::AgentCrash]) {
            let delay = self.delay(self.calls[&call].entry, agent);
            let result = Err(CallError::Connect);
            return self.schedule(delay, Event::Response { call, result });
        }
        if !self.affected_by(agent, &[Fault::AgentIsolated]) {
            self.admission(agent, message);
        }
    }

    pub(super) fn admission(&mut self, agent: usize, message: admission::Message) {
        for effect in self.hosts[agent].admission.step(self.now, message) {
            match effect {
                admission::Effect::Announced { .. }
                | admission::Effect::Evict { .. }
                | admission::Effect::Stop { .. } => {},
                admission::Effect::Offers(offers) => {
                    let changed = self.hosts[agent].offers != offers;
                    self.hosts[agent].offers = offers;
                    if changed {
                        self.send_heartbeat(agent);
                    }
                },
                admission::Effect::Reply { ticket, reported } => {
                    let Some(call) = self.calls.get(&ticket) else { continue };
                    let wait = self.delay(call.entry, agent);
                    if !self.affected_by(agent, &[Fault::AgentCrash, Fault::AgentIsolated]) {
                        let result = Ok(reported);
                        self.schedule(wait, Event::Response { call: ticket, result });
                    }
                },
                admission::Effect::Run { key, fence, kind, .. } => {
                    self.start_run(agent, key, fence, &kind);
                },
            }
        }
    }

    /// Draws the service time of a run and schedules its end.
    pub(super) fn start_run(&mut self, agent: usize, key: Key, fence: u64, kind: &Name) {
        if self.faulty && agent == 0 {
            self.out.last_start = self.now.since(FAULT_AT);
        }
        let status = if self.affected_by(agent, &[Fault::RunnerErrors]) { 500 } else { 200 };
        let answer = Answer { status, media: String::new(), body: Bytes::from_static(b"done") };
        let mut result = Ok(admission::RunnerAnswer { answer, declined: false });
        let uniform = self.rng.random::<f64>();
        let part = 1.0 - (SERVICE_MIN / SERVICE_MAX).powf(SERVICE_ALPHA);
        let quick = SERVICE_MIN / (1.0 - uniform * part).powf(1.0 / SERVICE_ALPHA);
        let mut took = Span::micros((quick * self.cold_factor(agent)) as u64);
        if kind.as_str() == "plan" {
            took = BATCH_SERVICE;
        }
        if self.affected_by(agent, &[Fault::RunnerSlow]) {
            took = took.percent(1_000);
        }
        if status == 500 {
            took = Span::millis(1);
        }
        if self.runner_down(agent) {
            took = LOCAL_DELAY;
            result = Err(CallError::Connect);
        }
        self.schedule(took, Event::RunEnd { agent, key, fence, result });
    }

    pub(super) fn handle_response(&mut self, id: u64, result: Result<AgentReply, CallError>) {
        let Some(call) = self.calls.remove(&id) else { return };
        let (entry, now) = (call.entry, self.now);
        let agent = name(&format!("a{:02}", call.agent));
        let reading = result.as_ref().ok().map(|reported| ClockReading {
            incarnation: reported.incarnation,
            clock: reported.clock,
            taken: now,
            used: reported.used,
            slots: reported.slots,
        });
        if let Some(reading) = &reading {
            self.entries[entry].view.readings.insert(agent.clone(), reading.clone());
        }
        let Some(key) = call.key else {
            return self.routing(entry, routing::Message::ReadingReceived { agent, reading });
        };
        if call.start {
            let signal = Signal::from_report(&result, now.since(call.sent));
            let feedback = Feedback { agent: agent.clone(), signal, reading };
            self.routing(entry, routing::Message::Feedback(feedback));
        }
        let report = result.map(|reported| reported.report);
        if self.run.variant.budget {
            let attempt = call.attempt;
            return self.execution(entry, execution::Message::Outcome { key, attempt, report });
        }
        match report {
            Ok(Report::Ended(answer)) => self.finish_baseline(entry, &key, Some(answer.status)),
            _ => {
                if let Some(request) = self.entries[entry].baseline.get_mut(&key) {
                    request.exclude.insert(agent);
                }
                self.baseline_pick(entry, &key);
            },
        }
    }

    /// Counts a response to a caller: its status, or none for a refusal.
    pub(super) fn respond(&mut self, ticket: u64, status: Option<u16>) {
        let Some(ticket) = self.tickets.remove(&ticket) else { return };
        if !is_measured(self.run, ticket.arrived) {
            return;
        }
        let client = self.run.company.client;
        let took = self.now.since(ticket.arrived) + client + client;
        match (ticket.class, status) {
            (Class::Quick, Some(status)) => {
                self.out.latencies.push(took.as_micros());
                if status == 200 && took <= CALLER_TIMEOUT {
                    self.out.useful += 1;
                    self.out.series[(ticket.arrived.as_micros() / 100_000) as usize].1 += 1;
                }
            },
            (Class::Quick, None) => {
                self.out.refused += 1;
                self.out.refusals.push(took.as_micros());
            },
            (_, Some(_)) => self.out.batch_done += 1,
            _ => {},
        }
    }

    /// Counts a request whose outcome is unknown.
    pub(super) fn record_unknown(&mut self, ticket: u64) {
        let Some(ticket) = self.tickets.remove(&ticket) else { return };
        if ticket.class == Class::Quick && is_measured(self.run, ticket.arrived) {
            self.out.unknown += 1;
        }
    }
}
