//! Translates callers' HTTP requests to messages of an entry, and its completions to responses.

use std::borrow::Cow;

use rand::Rng;
use serde_json::json;

use crate::core::{Key, Name, Refusal, Span};
use crate::execution::Completion;
use crate::http::{Inbound, Outbound};

/// Header with the idempotency key.
const KEY: &str = "idempotency-key";
/// Header with the caller's timeout, in milliseconds.
const TIMEOUT: &str = "request-timeout-ms";
/// Header with the verdict.
const VERDICT: &str = "toucangrade-verdict";
/// Code of a refusal for a service that is not declared.
pub(crate) const UNKNOWN_SERVICE: &str = "unknown-service";
/// Code of a refusal for a kind that its service does not declare.
pub(crate) const UNKNOWN_KIND: &str = "unknown-kind";
/// Allowed timeouts of callers, in milliseconds.
const TIMEOUT_MS: std::ops::RangeInclusive<u64> = 1..=3_600_000;

/// Parses service and kind of `POST /v1/{service}/{kind}`.
pub(crate) fn parse_path(call: &Inbound) -> Result<(Name, Name), Refusal> {
    if call.method != http::Method::POST {
        return Err(Refusal::not_run(405, "bad-method", "requests are sent with POST"));
    }
    let ["v1", service, kind] = call.segments()[..] else {
        return Err(Refusal::not_run(404, "bad-path", "the path is /v1/{service}/{kind}"));
    };
    let name = |value: &str| {
        Name::new(value).map_err(|error| Refusal::not_run(400, "bad-name", error.to_string()))
    };
    Ok((name(service)?, name(kind)?))
}

/// Parses the headers for the idempotency key and the timeout of a request.
pub(crate) fn parse_headers(call: &Inbound) -> Result<(Option<Key>, Option<Span>), Refusal> {
    let key = call.headers.get(KEY).map(|value| value.to_str().unwrap_or_default());
    let key = key.map(Key::new).transpose();
    let key = key.map_err(|error| Refusal::not_run(400, "bad-key", error.to_string()))?;
    let Some(value) = call.headers.get(TIMEOUT) else { return Ok((key, None)) };
    let millis = value.to_str().ok().and_then(|value| value.parse().ok());
    match millis.filter(|millis| TIMEOUT_MS.contains(millis)) {
        Some(millis) => Ok((key, Some(Span::millis(millis)))),
        None => {
            let (least, most) = (TIMEOUT_MS.start(), TIMEOUT_MS.end());
            let reason = format!("{TIMEOUT} is {value:?}, allowed is {least} to {most}");
            Err(Refusal::not_run(400, "bad-timeout", reason))
        },
    }
}

/// Generates the key in the response to a request that has none.
pub(crate) fn fresh_key() -> Key {
    let text = format!("{:032x}", rand::rng().random::<u128>());
    Key::new(&text).unwrap_or_else(|error| unreachable!("{error}"))
}

/// Metric label of a refusal: its verdict and code.
pub(crate) fn refusal_label(refusal: &Refusal) -> String {
    format!("{} {}", refusal.verdict, refusal.code)
}

/// Metric label of a completion: its verdict, and the code of an error.
pub(crate) fn result_label(completion: &Completion) -> Cow<'static, str> {
    match completion {
        Completion::Answer(answer) if (200..300).contains(&answer.status) => "ran".into(),
        Completion::Answer(_) => "ran back-end-failed".into(),
        Completion::Refused(refusal) => refusal_label(refusal).into(),
    }
}

/// Whether the request named an undeclared service or kind.
pub(crate) fn is_unknown(completion: &Completion) -> bool {
    match completion {
        Completion::Answer(_) => false,
        Completion::Refused(refusal) => {
            matches!(refusal.code.as_str(), UNKNOWN_SERVICE | UNKNOWN_KIND)
        },
    }
}

/// The HTTP response for a completion.
pub(crate) fn outbound(key: &Key, completion: Completion) -> Outbound {
    match completion {
        Completion::Answer(answer) if (200..300).contains(&answer.status) => {
            Outbound::new(200, answer.body)
                .with_text("content-type", &answer.media)
                .with_text(KEY, key.as_str())
                .with_text(VERDICT, "ran")
        },
        Completion::Answer(answer) => {
            let reason = format!("the back end answered with status {}", answer.status);
            let body = json!({ "error": "back-end-failed", "reason": reason, "verdict": "ran" });
            Outbound::json(502, &body).with_text(KEY, key.as_str()).with_text(VERDICT, "ran")
        },
        Completion::Refused(refusal) => refused(Some(key), &refusal),
    }
}

/// The HTTP response for a request that was refused or whose outcome is unknown.
pub(crate) fn refused(key: Option<&Key>, refusal: &Refusal) -> Outbound {
    let Refusal { status, code, reason, verdict, after } = refusal;
    let body = json!({ "error": code, "reason": reason, "verdict": verdict });
    let key = key.cloned().unwrap_or_else(fresh_key);
    let outbound = Outbound::json(*status, &body)
        .with_text(KEY, key.as_str())
        .with_text(VERDICT, verdict.as_str());
    match after {
        // The header is in whole seconds, so the wait is rounded up.
        Some(millis) => outbound.with_text("retry-after", &millis.div_ceil(1_000).to_string()),
        None => outbound,
    }
}
