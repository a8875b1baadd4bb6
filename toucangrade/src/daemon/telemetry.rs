//! Sends the metrics of a process to a StatsD server over UDP.

use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, StatsdClient};

use super::{Role, Settings};
use crate::core::{Clock, Duty, Handle, Span};
use crate::metrics::{Effect, Load, Message, Metrics, Stat, flat};

/// Size of a datagram in bytes; fits into an Ethernet frame.
const DATAGRAM_BYTES: usize = 1_432;

type LoadSources = Arc<Mutex<Vec<Box<dyn Fn() -> Load + Send>>>>;

/// Sending side of the metrics duty; without a StatsD server, no metrics are collected.
#[derive(Clone)]
pub(crate) struct Telemetry {
    duty: Option<Handle<Message>>,
    sources: LoadSources,
}

impl Telemetry {
    /// Starts the duty if a StatsD server is set.
    pub(crate) fn start(settings: &Settings, clock: &Clock) -> io::Result<Self> {
        let sources: LoadSources = Arc::default();
        let Some(addr) = settings.statsd else { return Ok(Self { duty: None, sources }) };
        let client = client(addr, &format!("toucangrade.{}", flat(&settings.name)))?;
        let handle = Handle::new("metrics");
        let zeros: &[&str] = if settings.has(Role::Control) { &["evictions"] } else { &[] };
        let state = Metrics::new(zeros);
        let tick = || Message::Tick;
        let duty = Duty { state, step: Metrics::step, tick, period: Metrics::PERIOD };
        let (metrics, rings) = (handle.clone(), Arc::clone(&sources));
        duty.spawn(&handle, clock.clone(), move |_, effect| match effect {
            // Datagrams that can't be sent are dropped, as StatsD allows.
            Effect::Flush => drop(client.flush()),
            Effect::Sample => {
                let rings = rings.lock().unwrap_or_else(PoisonError::into_inner);
                let loads = rings.iter().map(|load| load()).collect();
                let _ = metrics.offer(Message::Loads(loads));
            },
            Effect::Send(stat) => send(&client, stat),
            // The daemon serves no scrapes.
            Effect::Text { .. } => {},
        })?;
        let telemetry = Self { duty: Some(handle), sources };
        Ok(telemetry)
    }

    /// Sends a message to the duty; dropped if the ring is full.
    pub(crate) fn offer(&self, message: Message) {
        if let Some(duty) = &self.duty {
            let _ = duty.offer(message);
        }
    }

    /// Registers a duty's ring, whose load is reported from then on.
    pub(crate) fn watch<M: Send + 'static>(&self, handle: &Handle<M>) {
        if self.duty.is_some() {
            let handle = handle.clone();
            let load = move || {
                let (duty, waiting, shed) = handle.load();
                Load { duty, waiting, shed }
            };
            self.sources.lock().unwrap_or_else(PoisonError::into_inner).push(Box::new(load));
        }
    }

    /// Sets a gauge.
    pub(crate) fn gauge(&self, name: &'static str, value: u64) {
        self.offer(Message::Gauge { name, value });
    }

    /// Records a duration.
    pub(crate) fn timer(&self, name: &'static str, span: Span) {
        self.offer(Message::Timer { name, span });
    }
}

fn client(addr: SocketAddr, prefix: &str) -> io::Result<StatsdClient> {
    let local: SocketAddr = match addr {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::with_capacity(addr, socket, DATAGRAM_BYTES);
    Ok(StatsdClient::from_sink(prefix, sink.map_err(io::Error::other)?))
}

fn send(client: &StatsdClient, stat: Stat) {
    match stat {
        Stat::Count { name, value } => drop(client.count(&name, value)),
        Stat::Gauge { name, value } => drop(client.gauge(&name, value)),
        Stat::Timer { name, micros, count } => {
            // A sampling rate of 1/n makes the server count one line as n events.
            let timer = client.time_with_tags(&name, Span::micros(micros).duration());
            drop(timer.with_sampling_rate(1.0 / count as f64).try_send());
        },
    }
}
