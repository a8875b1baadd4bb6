//! Client for requests to other processes, among them the leader of the control group.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use crate::core::{Name, Span};
use crate::http::{CallError, Client, Exchange};
use crate::peer::{self, Reply, Request};

/// Callback for the reply to a heartbeat.
type Callback = Box<dyn FnOnce(Option<Reply>) + Send>;

/// Sends requests to other processes, and tracks the leader of the control group.
#[derive(Clone)]
pub(crate) struct Link {
    client: Client,
    members: Arc<BTreeMap<Name, SocketAddr>>,
    /// The last known leader, or the control instance to try next.
    leader: Arc<Mutex<Option<Name>>>,
}

impl Link {
    pub(crate) fn new(client: Client, members: BTreeMap<Name, SocketAddr>) -> Self {
        let leader = members.keys().next().cloned();
        Self { client, members: Arc::new(members), leader: Arc::new(Mutex::new(leader)) }
    }

    /// Names of the control instances.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Name> {
        self.members.keys()
    }

    /// Sends a request to the control instance of this name.
    pub(crate) fn member(
        &self,
        name: &Name,
        request: &Request,
        timeout: Span,
        done: impl FnOnce(Result<Reply, CallError>) + Send + 'static,
    ) {
        match self.members.get(name) {
            Some(&addr) => self.send(addr, request, timeout, done),
            None => done(Err(CallError::Connect)),
        }
    }

    /// Peer addresses of the control instances.
    pub(crate) fn addrs(&self) -> Vec<SocketAddr> {
        self.members.values().copied().collect()
    }

    /// Peer addresses of the control instances other than the one of this name.
    pub(crate) fn others(&self, name: &Name) -> Vec<SocketAddr> {
        self.members.iter().filter(|(other, _)| *other != name).map(|(_, addr)| *addr).collect()
    }

    /// Names and peer addresses of the control instances.
    pub(crate) fn group(&self) -> BTreeMap<Name, SocketAddr> {
        self.members.as_ref().clone()
    }

    /// Sends a request to the process at this peer address.
    pub(crate) fn send(
        &self,
        to: SocketAddr,
        request: &Request,
        timeout: Span,
        done: impl FnOnce(Result<Reply, CallError>) + Send + 'static,
    ) {
        let exchange = Exchange::post(to, peer::PATH, peer::encode(request), timeout);
        self.client.send(exchange, move |result| done(peer::reply(result)));
    }

    /// Sends a heartbeat to the last known leader, and immediately to the other control instances
    /// if that one can't be reached or is not the leader.
    ///
    /// Heartbeats are sent every 0.5 s. With one instance tried per heartbeat, finding a new leader
    /// among three would take up to 1.5 s.
    pub(crate) fn heartbeat(
        &self,
        request: Request,
        timeout: Span,
        done: impl FnOnce(Option<Reply>) + Send + 'static,
    ) {
        self.heartbeat_to(request, timeout, self.members.len(), Box::new(done));
    }

    fn heartbeat_to(&self, request: Request, timeout: Span, attempts: usize, done: Callback) {
        let target = self.leader.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let addr = target.as_ref().and_then(|name| self.members.get(name));
        let Some(&addr) = addr else { return done(None) };
        let link = self.clone();
        let exchange = Exchange::post(addr, peer::PATH, peer::encode(&request), timeout);
        self.client.send(exchange, move |result| {
            let reply = result.map(|response| peer::decode(&response.body));
            let hint = match reply {
                Ok(Some(Reply::Refused { leader, .. })) => leader,
                Ok(Some(reply)) => return done(Some(reply)),
                Err(CallError::Connect | CallError::Refused) => None,
                // The heartbeat may have been received, so it is not sent again.
                Ok(None) | Err(_) => {
                    link.switch_leader(target, None);
                    return done(None);
                },
            };
            link.switch_leader(target, hint);
            if attempts > 1 {
                link.heartbeat_to(request, timeout, attempts - 1, done);
            } else {
                done(None);
            }
        });
    }

    /// Sends a request to the last known leader.
    ///
    /// `None` means that there was no usable reply; the next request then goes to another instance.
    pub(crate) fn control(
        &self,
        request: &Request,
        timeout: Span,
        done: impl FnOnce(Option<Reply>) + Send + 'static,
    ) {
        let target = self.leader.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let addr = target.as_ref().and_then(|name| self.members.get(name));
        let Some(&addr) = addr else { return done(None) };
        let link = self.clone();
        self.send(addr, request, timeout, move |result| match result {
            Ok(Reply::Refused { leader, .. }) => {
                link.switch_leader(target, leader);
                done(None);
            },
            Ok(reply) => done(Some(reply)),
            Err(_) => {
                link.switch_leader(target, None);
                done(None);
            },
        });
    }

    /// Switches to the leader named in a refusal, or to the next instance.
    fn switch_leader(&self, target: Option<Name>, hint: Option<Name>) {
        let mut leader = self.leader.lock().unwrap_or_else(PoisonError::into_inner);
        if *leader != target {
            // Another reply has already switched.
            return;
        }
        let hint =
            hint.filter(|name| self.members.contains_key(name) && Some(name) != target.as_ref());
        let next = || {
            let target = target.as_ref()?;
            let mut later = self.members.keys().skip_while(|name| *name != target).skip(1);
            later.next().or(self.members.keys().next()).cloned()
        };
        *leader = hint.or_else(next);
    }
}
