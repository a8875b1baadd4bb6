//! Sends the metrics of a process to a StatsD server over UDP.

use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, StatsdClient};

use super::{Role, Settings};
use crate::core::{Clock, Duty, Handle, Span};
use crate::metrics::{Effect, Load, Message, Metrics, Stat, flat};

/// Bytes of one datagram, which fit into an Ethernet frame.
const DATAGRAM: usize = 1_432;

type Watched = Arc<Mutex<Vec<Box<dyn Fn() -> Load + Send>>>>;

/// Sending side of the metrics duty; without a server nothing is gathered.
#[derive(Clone)]
pub(crate) struct Telemetry {
    duty: Option<Handle<Message>>,
    watched: Watched,
}

impl Telemetry {
    /// Starts the duty when a server is set.
    pub(crate) fn start(settings: &Settings, clock: &Clock) -> io::Result<Self> {
        let watched: Watched = Arc::default();
        let Some(addr) = settings.statsd else { return Ok(Self { duty: None, watched }) };
        let client = client(addr, &format!("toucangrade.{}", flat(&settings.name)))?;
        let handle = Handle::new("metrics");
        let zeros: &[&str] = if settings.has(Role::Control) { &["evictions"] } else { &[] };
        let state = Metrics::new(zeros);
        let tick = || Message::Tick;
        let duty = Duty { state, step: Metrics::step, tick, period: Metrics::PERIOD };
        let (metrics, rings) = (handle.clone(), Arc::clone(&watched));
        duty.spawn(&handle, clock.clone(), move |_, effect| match effect {
            // Datagrams that can't be sent are lost, as StatsD allows.
            Effect::Flush => drop(client.flush()),
            Effect::Sample => {
                let rings = rings.lock().unwrap_or_else(PoisonError::into_inner);
                let loads = rings.iter().map(|load| load()).collect();
                let _ = metrics.offer(Message::Loads(loads));
            },
            Effect::Send(stat) => send(&client, stat),
            // The daemon has no address for scrapes.
            Effect::Text { .. } => {},
        })?;
        let telemetry = Self { duty: Some(handle), watched };
        Ok(telemetry)
    }

    /// Hands a message to the duty; under load metrics are shed.
    pub(crate) fn offer(&self, message: Message) {
        if let Some(duty) = &self.duty {
            let _ = duty.offer(message);
        }
    }

    /// Reports the load of a duty's ring from now on.
    pub(crate) fn watch<M: Send + 'static>(&self, handle: &Handle<M>) {
        if self.duty.is_some() {
            let handle = handle.clone();
            let load = move || {
                let (duty, waiting, shed) = handle.load();
                Load { duty, waiting, shed }
            };
            self.watched.lock().unwrap_or_else(PoisonError::into_inner).push(Box::new(load));
        }
    }

    /// Sets a gauge.
    pub(crate) fn gauge(&self, name: &'static str, value: u64) {
        self.offer(Message::Gauge { name, value });
    }

    /// Adds the time that something took.
    pub(crate) fn timer(&self, name: &'static str, span: Span) {
        self.offer(Message::Timer { name, span });
    }
}

fn client(addr: SocketAddr, prefix: &str) -> io::Result<StatsdClient> {
    let any: SocketAddr = match addr {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::with_capacity(addr, socket, DATAGRAM);
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
