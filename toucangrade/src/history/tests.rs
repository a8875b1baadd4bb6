//! Tests of the window of explanations.

use super::*;

fn event(n: usize) -> Event {
    Event { at: Moment::START, by: Name::new("entry").unwrap(), text: n.to_string() }
}

fn explain(history: &mut History, key: &Key) -> Vec<Event> {
    let message = Message::Explain { ticket: 1, key: key.clone() };
    let Some(Effect::Explained { events, .. }) = history.step(Moment::START, message).pop() else {
        panic!("no answer")
    };
    events
}

/// Guards against explanations that mix requests up, grow without bound or lose the ends.
#[test]
fn window_is_bounded() {
    let mut history = History::default();
    let key = |n: usize| Key::new(&format!("k{n}")).unwrap();
    for n in 0..KEYS_KEPT + 10 {
        let record = Message::Record { key: key(n), events: vec![event(n)] };
        history.step(Moment::START, record);
    }
    assert_eq!(explain(&mut history, &key(9)), []);
    assert_eq!(explain(&mut history, &key(10)), [event(10)]);
    let events = (0..STEPS_KEPT * 2).map(event).collect();
    history.step(Moment::START, Message::Record { key: key(12), events });
    let kept = explain(&mut history, &key(12));
    assert_eq!((kept.len(), &kept[0]), (STEPS_KEPT, &event(12)));
    assert_eq!(kept[STEPS_KEPT - 1], event(STEPS_KEPT * 2 - 1));
}
