//! Translates operators' HTTP requests for the members of the control group.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::oneshot;

use super::control::Control;
use super::link::Link;
use super::operator::{bad_request, parse, problem};
use crate::agreement;
use crate::core::{Name, Span};
use crate::http::{Inbound, Outbound};
use crate::peer::{Reply, Request};

/// Timeout of the identity request to the instance to be added.
const IDENTIFY_TIMEOUT: Span = Span::millis(1_000);

/// Change to the control group that an operator requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    /// Adds an instance, which becomes a member once it has caught up with the log.
    Add { name: Name, addr: SocketAddr },
    /// Removes a member.
    Remove { name: Name },
}

/// Body of `PUT /v1/members/{name}`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Added {
    addr: SocketAddr,
}

/// Applies a change; returns the revision at which it takes effect, or the reason of a refusal.
pub(crate) type Apply =
    Arc<dyn Fn(Change) -> LocalBoxFuture<'static, Result<u64, String>> + Send + Sync>;

/// The control group as operators see it.
#[derive(Clone)]
pub(crate) struct Members {
    /// Names and peer addresses of the members.
    pub(crate) list: Arc<dyn Fn() -> BTreeMap<Name, SocketAddr> + Send + Sync>,
    /// Applies a change; `None` if the settings fix the members.
    pub(crate) apply: Option<Apply>,
}

impl Members {
    /// The group of the replicated log; its list of names and addresses is from the settings.
    pub(crate) fn replicated(control: &Control, link: &Link) -> Self {
        let (group, control, link) = (link.group(), control.clone(), link.clone());
        let apply: Apply = Arc::new(move |change| {
            let (control, link) = (control.clone(), link.clone());
            Box::pin(async move { apply_change(&control, &link, change).await })
        });
        Self { list: Arc::new(move || group.clone()), apply: Some(apply) }
    }

    /// A group with fixed members.
    #[cfg(test)]
    pub(crate) fn fixed(members: BTreeMap<Name, SocketAddr>) -> Self {
        Self { list: Arc::new(move || members.clone()), apply: None }
    }

    /// Answers `GET /v1/members`.
    pub(crate) fn listed(&self) -> Outbound {
        let members = (self.list)();
        let members: Vec<_> =
            members.iter().map(|(name, addr)| json!({ "name": name, "addr": addr })).collect();
        Outbound::json(200, &json!({ "members": members }))
    }

    /// Answers `PUT` and `DELETE` of `/v1/members/{name}`.
    pub(crate) async fn change(&self, call: &Inbound, name: &str) -> Result<Outbound, Outbound> {
        let Some(apply) = &self.apply else { return Err(super::not_found()) };
        let name: Name = parse(name)?;
        let change = match call.method.as_str() {
            "DELETE" => Change::Remove { name },
            _ => {
                let Added { addr } = serde_json::from_slice(&call.body).map_err(bad_request)?;
                Change::Add { name, addr }
            },
        };
        match apply(change).await {
            Ok(revision) => Ok(Outbound::json(200, &json!({ "revision": revision }))),
            Err(reason) => Err(problem(409, "refused", &reason)),
        }
    }
}

/// Commits a change to the replicated log.
async fn apply_change(control: &Control, link: &Link, change: Change) -> Result<u64, String> {
    let change = match change {
        Change::Add { name, addr } => {
            // Replicas are addressed by the settings, so one without an address there would not
            // be reachable.
            if link.group().get(&name) != Some(&addr) {
                return Err(format!(
                    "{name}={addr} is not in the setting --control of this instance"
                ));
            }
            agreement::Change::Add(identify(link, &name).await?)
        },
        Change::Remove { name } => agreement::Change::Remove(name),
    };
    control.change_members(change).await.map_err(|error| error.to_string())
}

/// Requests the identity of an instance's data directory.
async fn identify(link: &Link, name: &Name) -> Result<agreement::Replica, String> {
    let (sender, receiver) = oneshot::channel();
    link.member(name, &Request::Identify, IDENTIFY_TIMEOUT, move |result| {
        drop(sender.send(result));
    });
    match receiver.await {
        Ok(Ok(Reply::Identity(replica))) if replica.name == *name => Ok(replica),
        _ => Err(format!("{name} does not answer, start it first")),
    }
}
