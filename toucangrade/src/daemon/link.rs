//! Requests to other processes, and to whichever control instance leads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use crate::core::{Name, Span};
use crate::http::{CallError, Client, Exchange};
use crate::peer::{self, Reply, Request};

/// Takes the reply to a heartbeat.
type Done = Box<dyn FnOnce(Option<Reply>) + Send>;

/// Sends requests to other processes.
#[derive(Clone)]
pub(crate) struct Link {
    client: Client,
    members: Arc<BTreeMap<Name, SocketAddr>>,
    /// The control instance that led when last heard of.
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

    /// Sends a request to one control instance.
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

    /// Peer addresses of the control instances but the one with this name.
    pub(crate) fn others(&self, name: &Name) -> Vec<SocketAddr> {
        self.members.iter().filter(|(other, _)| *other != name).map(|(_, addr)| *addr).collect()
    }

    /// Names and peer addresses of the control instances.
    pub(crate) fn group(&self) -> BTreeMap<Name, SocketAddr> {
        self.members.as_ref().clone()
    }

    /// Sends a request to one process.
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

    /// Sends a heartbeat to the control instance that leads, as far as is known, and at once to
    /// the others when that one can't be reached or doesn't lead.
    ///
    /// With one instance for each heartbeat, every 0.5 s, the search for a new leader among three takes
    /// up to 1.5 s.
    pub(crate) fn heartbeat(
        &self,
        request: Request,
        timeout: Span,
        done: impl FnOnce(Option<Reply>) + Send + 'static,
    ) {
        self.heartbeat_to(request, timeout, self.members.len(), Box::new(done));
    }

    fn heartbeat_to(&self, request: Request, timeout: Span, left: usize, done: Done) {
        let asked = self.leader.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let addr = asked.as_ref().and_then(|name| self.members.get(name));
        let Some(&addr) = addr else { return done(None) };
        let link = self.clone();
        let exchange = Exchange::post(addr, peer::PATH, peer::encode(&request), timeout);
        self.client.send(exchange, move |result| {
            let reply = result.map(|response| peer::decode(&response.body));
            let named = match reply {
                Ok(Some(Reply::Refused { leader, .. })) => leader,
                Ok(Some(reply)) => return done(Some(reply)),
                Err(CallError::Connect | CallError::Refused) => None,
                // It may have been taken in, so it is not sent again.
                Ok(None) | Err(_) => {
                    link.turn(asked, None);
                    return done(None);
                },
            };
            link.turn(asked, named);
            if left > 1 {
                link.heartbeat_to(request, timeout, left - 1, done);
            } else {
                done(None);
            }
        });
    }

    /// Sends a request to the control instance that leads, as far as is known.
    ///
    /// `None` means no usable reply; the next request goes to another instance.
    pub(crate) fn control(
        &self,
        request: &Request,
        timeout: Span,
        done: impl FnOnce(Option<Reply>) + Send + 'static,
    ) {
        let asked = self.leader.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let addr = asked.as_ref().and_then(|name| self.members.get(name));
        let Some(&addr) = addr else { return done(None) };
        let link = self.clone();
        self.send(addr, request, timeout, move |result| match result {
            Ok(Reply::Refused { leader, .. }) => {
                link.turn(asked, leader);
                done(None);
            },
            Ok(reply) => done(Some(reply)),
            Err(_) => {
                link.turn(asked, None);
                done(None);
            },
        });
    }

    /// Turns to the leader that was named, or to the next instance.
    fn turn(&self, asked: Option<Name>, named: Option<Name>) {
        let mut leader = self.leader.lock().unwrap_or_else(PoisonError::into_inner);
        if *leader != asked {
            // Another reply has turned already.
            return;
        }
        let named =
            named.filter(|name| self.members.contains_key(name) && Some(name) != asked.as_ref());
        let after = || {
            let asked = asked.as_ref()?;
            let mut later = self.members.keys().skip_while(|name| *name != asked).skip(1);
            later.next().or(self.members.keys().next()).cloned()
        };
        *leader = named.or_else(after);
    }
}
