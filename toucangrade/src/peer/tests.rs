//! Tests of the encoding of messages between processes.

mod fuzz;

use bytes::Bytes;

use super::*;
use crate::admission::Report;
use crate::claims::Resume;
use crate::core::{Checkpoint, Class, Moment};

/// Encoded messages must decode to the same value, and truncated ones must not decode.
#[test]
fn messages_survive_the_encoding() {
    let name = |value: &str| Name::new(value).unwrap();
    let admitted = Admitted {
        ticket: 7,
        service: name("balcao"),
        kind: name("stock-order"),
        class: Class::Once,
        key: Some(Key::new("order-1").unwrap()),
        deadline: Moment::micros(9),
        lease: Span::secs(1),
        revision: 3,
        body: Bytes::from(vec![0, 255, 7]),
    };
    let question = AttemptQuery {
        key: Key::new("k").unwrap(),
        fence: 1 << 40,
        incarnation: u64::MAX,
        start_by: Moment::micros(1),
    };
    let start = Start {
        key: Key::new("k").unwrap(),
        fence: u64::MAX,
        service: name("balcao"),
        kind: name("quote"),
        class: Class::Quick,
        partition: 63,
        epoch: 1 << 33,
        incarnation: 5,
        start_by: Moment::micros(u64::MAX),
        lease: Span::secs(2),
        resume: Some(Resume { checkpoint: Checkpoint::new("c-1").unwrap(), evictions: 8 }),
        body: Bytes::from(vec![1; 300]),
    };
    let report = Report::Refused { code: "full".into(), reason: "full".into(), after: None };
    let reported =
        AgentReply { report, incarnation: 9, clock: Moment::micros(1), used: 7, slots: 8 };
    let bytes = encode(&Reply::Reported(reported.clone()));
    assert_eq!(decode::<Reply>(&bytes), Some(Reply::Reported(reported)));
    assert_eq!(decode::<Reply>(&bytes[..bytes.len() - 1]), None);
    let requests = [
        Request::Start(Box::new(start)),
        Request::Forward {
            admitted: Box::new(admitted),
            remaining: Span::millis(5),
            hop: ForwardRoute { origin: 1, owner: 2 },
        },
        Request::Query(Some(question)),
        Request::Query(None),
    ];
    for request in requests {
        let bytes = encode(&request);
        assert_eq!(decode::<Request>(&bytes), Some(request));
        assert_eq!(decode::<Request>(&bytes[..bytes.len() - 1]), None);
    }
    assert_eq!(decode::<Request>(b""), None);
}
