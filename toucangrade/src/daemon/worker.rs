//! Connects the platform duty of an agent to control and, over HTTP, to its worker.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};

use super::Context;
use super::link::Link;
use crate::core::{Duty, Handle, Span};
use crate::http::{Client, Exchange, Parts};
use crate::peer::{Reply, Request};
use crate::placement::{Instance, Size, Target};
use crate::platform::{self, Effect, Message, Platform, Status, Tasks};

/// Longest time between two ticks.
const TICK: Span = Span::millis(100);
/// Timeout of calls to the worker.
const WORKER_TIMEOUT: Span = Span::millis(1_000);
/// Timeout of heartbeats to control.
const CONTROL_TIMEOUT: Span = Span::millis(1_500);

/// Starts the platform duty.
pub(crate) fn spawn(
    handle: &Handle<Message>,
    context: &Context,
    link: &Link,
    worker: SocketAddr,
) -> io::Result<()> {
    let settings = &context.settings;
    let instance = Instance {
        centre: settings.centre.clone(),
        name: settings.name.clone(),
        rack: settings.rack.clone(),
        size: Size::new(settings.millicores, settings.memory_mb, settings.accelerators),
    };
    let (link, tasks) = (link.clone(), handle.clone());
    let platform = http_platform(&context.client, worker);
    let state = Tasks::new(instance, context.incarnation);
    let duty = Duty { state, step: Tasks::step, tick: || Message::Tick, period: TICK };
    duty.spawn(handle, context.clock.clone(), move |_, effect| match effect {
        Effect::Begin(begin) => (platform.begin)(begin),
        Effect::Checkpoint(target) => (platform.checkpoint)(target),
        Effect::Poll => {
            let tasks = tasks.clone();
            (platform.list)(Box::new(move |listed| tasks.push(Message::Polled(listed))));
        },
        Effect::Stop(target) => (platform.stop)(target),
        Effect::Throttle { share, target } => (platform.throttle)((share, target)),
        Effect::Work { number, work } => {
            let tasks = tasks.clone();
            link.heartbeat(Request::Work(Box::new(work)), CONTROL_TIMEOUT, move |reply| {
                let orders = match reply {
                    Some(Reply::Orders(orders)) => Some(orders),
                    _ => None,
                };
                tasks.push(Message::Ordered { number, orders });
            });
        },
    })?;
    Ok(())
}

/// Parses a worker's list of tasks; `None` if it is not a list. Invalid entries are skipped.
pub(crate) fn listed_tasks(body: &[u8]) -> Option<Vec<Status>> {
    let (mut tasks, mut invalid) = (Vec::new(), None);
    for part in Parts::entries(body)? {
        match serde_json::from_slice(part.ok()?) {
            Ok(task) => tasks.push(task),
            Err(error) => invalid = invalid.or(Some(error)),
        }
    }
    if let Some(error) = invalid {
        tracing::warn!(%error, "worker lists an invalid task");
    }
    Some(tasks)
}

/// Implements [`Platform`] by HTTP calls to the worker that listens on `addr`.
///
/// `PUT /tasks/{job}` starts a task, `POST /tasks/{job}/checkpoint`, `/throttle` and `/stop` act on
/// one, `GET /tasks` lists all. A lost call is repeated on a later order or poll.
fn http_platform(client: &Client, addr: SocketAddr) -> Platform {
    let call = {
        let client = client.clone();
        move |method: Method, path: String, body: &Value| {
            let body = Bytes::from(body.to_string());
            let exchange = Exchange::post(addr, path, body, WORKER_TIMEOUT).method(method);
            client.send(exchange, |_| {});
        }
    };
    let post_action =
        move |call: &dyn Fn(Method, String, &Value), action: &str, target: &Target| {
            let path = format!("/tasks/{}/{action}", target.job);
            call(Method::POST, path, &json!({ "fence": target.fence }));
        };
    let (begin, checkpoint, stop, throttle) = (call.clone(), call.clone(), call.clone(), call);
    let client = client.clone();
    Platform {
        begin: Arc::new(move |task: platform::Begin| {
            begin(Method::PUT, format!("/tasks/{}", task.job), &json!(task));
        }),
        checkpoint: Arc::new(move |target| post_action(&checkpoint, "checkpoint", &target)),
        list: Arc::new(move |done| {
            let exchange = Exchange::post(addr, "/tasks", Bytes::new(), WORKER_TIMEOUT);
            client.send(exchange.method(Method::GET), move |result| {
                let response = result.ok().filter(|response| response.status == 200);
                done(response.and_then(|response| listed_tasks(&response.body)));
            });
        }),
        stop: Arc::new(move |target| post_action(&stop, "stop", &target)),
        throttle: Arc::new(move |(share, target)| {
            let path = format!("/tasks/{}/throttle", target.job);
            throttle(Method::POST, path, &json!({ "fence": target.fence, "share": share }));
        }),
    }
}
