//! Guards against orders that are lost or reversed by repeats.

use rstest::rstest;

use super::{EvacuationOrder, EvacuationVerb, Evacuations};

struct Case {
    /// Orders as (data centre, verb); the time of each is its position.
    orders: &'static [(&'static str, EvacuationVerb)],
    /// Whether each order changes anything.
    changed: &'static [bool],
    /// Evacuated data centres afterwards, with the time of the order that is in force.
    covered: &'static [(&'static str, u64)],
}

use EvacuationVerb::{Finish, Start};

#[rstest]
#[case::started(Case { orders: &[("a", Start)], changed: &[true], covered: &[("a", 0)] })]
#[case::repeat_keeps_the_first_time(Case {
    orders: &[("a", Start), ("a", Start)],
    changed: &[true, false],
    covered: &[("a", 0)],
})]
#[case::finished(Case {
    orders: &[("a", Start), ("a", Finish), ("a", Finish)],
    changed: &[true, true, false],
    covered: &[],
})]
#[case::finish_of_another_centre(Case {
    orders: &[("a", Start), ("b", Finish)],
    changed: &[true, false],
    covered: &[("a", 0)],
})]
#[case::all_centres(Case {
    orders: &[("a", Start), ("b", Start), ("c", Start)],
    changed: &[true, true, true],
    covered: &[("a", 0), ("b", 1), ("c", 2)],
})]
#[case::started_again(Case {
    orders: &[("a", Start), ("a", Finish), ("a", Start)],
    changed: &[true, true, true],
    covered: &[("a", 2)],
})]
fn orders_apply_in_turn(#[case] case: Case) {
    let mut evacuations = Evacuations::default();
    for (wall, ((centre, verb), changed)) in case.orders.iter().zip(case.changed).enumerate() {
        let wall = wall as u64;
        let order = EvacuationOrder { centre: (*centre).into(), verb: *verb, wall, by: "".into() };
        assert_eq!(evacuations.apply(&order), *changed, "order {wall}");
    }
    let covered: Vec<(&str, u64)> =
        evacuations.iter().map(|(centre, evacuation)| (&**centre, evacuation.since)).collect();
    assert_eq!(covered, case.covered);
    assert_eq!(evacuations.len(), case.covered.len());
    assert_eq!(evacuations.is_empty(), case.covered.is_empty());
    assert!(case.covered.iter().all(|(centre, _)| evacuations.covers(centre)));
}
