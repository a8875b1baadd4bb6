//! Tests of the encoding between processes.

use bytes::Bytes;

use super::*;
use crate::core::{Class, Moment};

/// Guards against messages that change on the way, or that bad bytes are taken for.
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
    let question = Question {
        key: Key::new("k").unwrap(),
        fence: 1 << 40,
        incarnation: u64::MAX,
        start_by: Moment::micros(1),
    };
    let requests = [
        Request::Forward {
            admitted: Box::new(admitted),
            patience: Span::millis(5),
            hop: Hop { origin: 1, owner: 2 },
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
