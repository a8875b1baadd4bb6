//! Translation between operators' HTTP and changes to the control group.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde_json::json;

use super::operator::{bad_request, parse, problem};
use crate::core::Name;
use crate::http::{Inbound, Outbound};

/// Change to the control group that an operator asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    /// The instance becomes a member once it has caught up.
    Add { name: Name, addr: SocketAddr },
    /// The instance is a member no more.
    Remove { name: Name },
}

/// Body of `PUT /v1/members/{name}`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Added {
    addr: SocketAddr,
}

/// Carries out a change: gives the revision at which it is in force, or why it is refused.
pub(crate) type Apply =
    Arc<dyn Fn(Change) -> LocalBoxFuture<'static, Result<u64, String>> + Send + Sync>;

/// The control group as operators see it.
#[derive(Clone)]
pub(crate) struct Members {
    /// Names and peer addresses of the members.
    pub(crate) list: Arc<dyn Fn() -> BTreeMap<Name, SocketAddr> + Send + Sync>,
    /// How members change; without it the group is fixed by the settings.
    pub(crate) apply: Option<Apply>,
}

impl Members {
    /// A group that can't be changed.
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
