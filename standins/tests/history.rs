//! Tests that the history checker accepts valid request histories and reports each violation.

use cassiacross::clock;
use standins::history::{self, Action, Outcome, Safety, Violation};
use yare::parameterized;

const ID: &str = "r1";

fn event(action: Action) -> history::Event {
    history::Event {
        process: 1,
        id: ID.to_owned(),
        at: clock::Millis(1),
        action,
    }
}

fn invoked(safety: Safety) -> history::Event {
    event(Action::Invoked {
        kind: "pickup".to_owned(),
        service: "ledger".to_owned(),
        safety,
    })
}

fn invoked_once() -> history::Event {
    invoked(Safety::Once)
}

fn completed(outcome: Outcome) -> history::Event {
    event(Action::Completed(outcome))
}

fn answer(id: &str, service: &str, whole: bool) -> history::Event {
    completed(Outcome::Answered(history::Answer {
        id: id.to_owned(),
        service: service.to_owned(),
        upstream: "ledger-1".to_owned(),
        whole,
    }))
}

fn unknown() -> history::Event {
    completed(Outcome::Unknown("closed".to_owned()))
}

fn broken() -> history::Event {
    event(Action::Broken("end of stream".to_owned()))
}

fn execution(id: &str, service: &str, upstream: &str) -> history::Execution {
    history::Execution {
        id: id.to_owned(),
        service: service.to_owned(),
        upstream: upstream.to_owned(),
    }
}

fn expected_execution() -> history::Execution {
    execution(ID, "ledger", "ledger-1")
}

fn check(events: &[history::Event], executions: Vec<history::Execution>) -> history::Report {
    let ledger = history::Ledger {
        executions,
        lost: vec!["ledger-9".to_owned()],
    };
    history::check(events, &ledger)
}

#[parameterized(
    empty = { &[], vec![] },
    answered = { &[invoked_once(), answer(ID, "ledger", true)], vec![expected_execution()] },
    refused = { &[invoked_once(), completed(Outcome::Refused)], vec![] },
    unknown_run = { &[invoked_once(), unknown()], vec![expected_execution()] },
    unknown_not_run = { &[invoked_once(), unknown()], vec![] },
    idempotent_twice = {
        &[invoked(Safety::Idempotent), answer(ID, "ledger", true)],
        vec![expected_execution(), execution(ID, "ledger", "ledger-2")]
    },
    feed = {
        &[invoked(Safety::Idempotent), event(Action::Opened), event(Action::Closed)],
        vec![expected_execution()]
    },
)]
fn valid_history_passes(events: &[history::Event], executions: Vec<history::Execution>) {
    assert_eq!(check(events, executions).violations, []);
}

#[parameterized(
    foreign_answer = {
        &[invoked_once(), answer("r2", "ledger", true)], vec![expected_execution()],
        Violation::ForeignAnswer(ID.to_owned())
    },
    torn_answer = {
        &[invoked_once(), answer(ID, "ledger", false)], vec![expected_execution()],
        Violation::TornAnswer(ID.to_owned())
    },
    answer_of_wrong_service = {
        &[invoked_once(), answer(ID, "intake", true)], vec![expected_execution()],
        Violation::WrongService(ID.to_owned())
    },
    run_by_wrong_service = {
        &[invoked_once(), unknown()], vec![execution(ID, "intake", "intake-1")],
        Violation::WrongService(ID.to_owned())
    },
    refused_but_run = {
        &[invoked_once(), completed(Outcome::Refused)], vec![expected_execution()],
        Violation::RefusedButRun(ID.to_owned())
    },
    doubled_at_two_upstreams = {
        &[invoked_once(), answer(ID, "ledger", true)],
        vec![expected_execution(), execution(ID, "ledger", "ledger-2")],
        Violation::Doubled(ID.to_owned())
    },
    doubled_at_one_upstream = {
        &[invoked_once(), unknown()], vec![expected_execution(), expected_execution()],
        Violation::Doubled(ID.to_owned())
    },
    answered_not_run = {
        &[invoked_once(), answer(ID, "ledger", true)], vec![],
        Violation::AnsweredNotRun(ID.to_owned())
    },
    never_completed = {
        &[invoked_once()], vec![expected_execution()],
        Violation::Unaccounted(ID.to_owned())
    },
    completed_twice = {
        &[invoked_once(), unknown(), unknown()], vec![expected_execution()],
        Violation::Unaccounted(ID.to_owned())
    },
    never_invoked = { &[unknown()], vec![], Violation::Unaccounted(ID.to_owned()) },
    unsent = { &[], vec![expected_execution()], Violation::Unsent(ID.to_owned()) },
    broken_feed = {
        &[invoked(Safety::Idempotent), event(Action::Opened), broken()], vec![expected_execution()],
        Violation::BrokenFeed(ID.to_owned())
    },
    feed_never_opened = {
        &[invoked(Safety::Idempotent), broken()], vec![],
        Violation::BrokenFeed(ID.to_owned())
    },
    feed_left_open = {
        &[invoked(Safety::Idempotent), event(Action::Opened)], vec![expected_execution()],
        Violation::Unaccounted(ID.to_owned())
    },
)]
fn invalid_history_fails(
    events: &[history::Event],
    executions: Vec<history::Execution>,
    expected: Violation,
) {
    assert_eq!(check(events, executions).violations, [expected]);
}

#[test]
fn response_with_lost_ledger_is_counted_as_unshown() {
    let answer = completed(Outcome::Answered(history::Answer {
        id: ID.to_owned(),
        service: "ledger".to_owned(),
        upstream: "ledger-9".to_owned(),
        whole: true,
    }));
    let report = check(&[invoked_once(), answer], vec![]);
    assert_eq!((report.unshown, report.violations.len()), (1, 0));
}
