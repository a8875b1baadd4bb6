//! Load, measurements and delayed reports of the simulated workers.

use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use toucangrade::placement::{Event, Latency, Message, Size, Usage};
use toucangrade::{Name, Span};

use super::truth::{lognormal, uniform};
use super::worker::{Output, Quick, memory};
use super::{ANSWER_SIGMA, Fake, STEP, STEP_SPAN, WINDOW, WORKERS};

impl Fake {
    /// Updates the load of the quick tasks, and reports it to the planner every second.
    pub(super) fn update_load(&mut self) {
        let secs = self.step as f64 * STEP;
        for i in 0..WORKERS {
            for quick in &mut self.workers[i].quick {
                quick.noise = quick.noise * 0.99 + uniform(&mut self.rng, -0.02, 0.02);
                let wave = (secs / 5_400.0 * std::f64::consts::TAU + i as f64 * 0.2).sin();
                quick.load = (0.45 + 0.3 * wave + quick.noise).clamp(0.05, 1.0);
            }
            let up = self.workers[i].reachable && !self.workers[i].crashed;
            if up && self.step.is_multiple_of(4) {
                self.send_quick(i);
            }
        }
    }

    /// Sends a worker's reports, or keeps them while it is unreachable, and counts its work.
    pub(super) fn collect(&mut self, i: usize, output: Output) {
        self.figures.lost += output.lost;
        let worker = &self.workers[i];
        for (name, task) in &worker.tasks {
            let job = self.jobs.get_mut(name).unwrap();
            if task.done > job.best {
                if !task.hidden.doomed && !job.spec.standing {
                    self.figures.work += (task.done - job.best) * f64::from(job.spec.gang);
                }
                job.best = task.done;
            }
        }
        let reachable = worker.reachable;
        for report in output.reports {
            if reachable {
                self.send_later(0, Message::Report(report));
            } else if !matches!(report.event, Event::Progress { .. }) {
                self.unsent[i].push(report);
            }
        }
    }

    /// Samples the latency of quick requests. At the end of each window, sends usage and latency reports
    /// that arrive with a delay.
    pub(super) fn measure(&mut self, i: usize) {
        if self.workers[i].crashed {
            return;
        }
        let mix = self.workers[i].mix();
        let answer: LogNormal<f64> = lognormal(1.0, ANSWER_SIGMA);
        let mean = (ANSWER_SIGMA * ANSWER_SIGMA / 2.0).exp();
        let peaks = self.company.quick_cores;
        self.figures.room += self.company.cores as f64 * STEP;
        let mut used = Vec::new();
        for quick in &mut self.workers[i].quick {
            self.figures.room -= quick.load * peaks[quick.kind].1 * STEP;
            used.push(quick.load * peaks[quick.kind].1);
            if self.rng.random_bool(quick.load) {
                let excess = self.truth.excess(quick.kind, quick.load, &mix);
                let ratio = answer.sample(&mut self.rng) * (1.0 + excess);
                self.figures.quick.record((ratio * 1_000.0) as u64).unwrap();
                quick.sum += ratio / mean;
                quick.count += 1.0;
            }
        }
        // The windows of the workers are staggered.
        if !(self.step + i as u64).is_multiple_of(WINDOW) {
            return;
        }
        let lag = self.rng.random_range(8..48);
        let age = STEP_SPAN.percent(lag * 100);
        let (from, until) = (age + Span::secs(5), age);
        let worker = &mut self.workers[i];
        let name = worker.info.name.clone();
        let service = Name::new("service").unwrap();
        let kind = |quick: &Quick| Name::new(self.company.quick[quick.kind]).unwrap();
        let mut messages = Vec::new();
        let mut shares = Vec::new();
        for (quick, used) in worker.quick.iter_mut().zip(used) {
            let size = Size::new((used * 1_000.0) as u64, 6_000, 0);
            shares.push((service.clone(), kind(quick), size));
            if quick.count >= 3.0 {
                messages.push(Message::Latency(Latency {
                    from,
                    kind: kind(quick),
                    ratio: quick.sum / quick.count,
                    service: service.clone(),
                    until,
                    worker: name.clone(),
                }));
            }
            (quick.sum, quick.count) = (0.0, 0.0);
        }
        let jobs = worker.tasks.iter().map(|(job, task)| {
            let size = Size::new((task.using * 1_000.0) as u64, memory(task) as u64, 0);
            (job.clone(), task.fence, size)
        });
        messages.push(Message::Usage(Usage {
            from,
            jobs: jobs.collect(),
            quick: shares,
            until,
            worker: name,
        }));
        if worker.reachable {
            for message in messages {
                self.send_later(lag, message);
            }
        }
    }
}
