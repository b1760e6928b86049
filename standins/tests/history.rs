//! The checker of request histories must pass whole histories and fail broken ones.

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

fn once() -> history::Event {
    invoked(Safety::Once)
}

fn done(outcome: Outcome) -> history::Event {
    event(Action::Completed(outcome))
}

fn answer(id: &str, service: &str, whole: bool) -> history::Event {
    done(Outcome::Answered(history::Answer {
        id: id.to_owned(),
        service: service.to_owned(),
        upstream: "ledger-1".to_owned(),
        whole,
    }))
}

fn unknown() -> history::Event {
    done(Outcome::Unknown("closed".to_owned()))
}

fn broken() -> history::Event {
    event(Action::Broken("end of stream".to_owned()))
}

fn run(id: &str, service: &str, upstream: &str) -> history::Execution {
    history::Execution {
        id: id.to_owned(),
        service: service.to_owned(),
        upstream: upstream.to_owned(),
    }
}

fn own_run() -> history::Execution {
    run(ID, "ledger", "ledger-1")
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
    answered = { &[once(), answer(ID, "ledger", true)], vec![own_run()] },
    refused = { &[once(), done(Outcome::Refused)], vec![] },
    unknown_run = { &[once(), unknown()], vec![own_run()] },
    unknown_not_run = { &[once(), unknown()], vec![] },
    idempotent_twice = {
        &[invoked(Safety::Idempotent), answer(ID, "ledger", true)],
        vec![own_run(), run(ID, "ledger", "ledger-2")]
    },
    feed = {
        &[invoked(Safety::Idempotent), event(Action::Opened), event(Action::Closed)],
        vec![own_run()]
    },
)]
fn history_passes(events: &[history::Event], executions: Vec<history::Execution>) {
    assert_eq!(check(events, executions).violations, []);
}

#[parameterized(
    foreign_answer = {
        &[once(), answer("r2", "ledger", true)], vec![own_run()],
        Violation::ForeignAnswer(ID.to_owned())
    },
    torn_answer = {
        &[once(), answer(ID, "ledger", false)], vec![own_run()],
        Violation::TornAnswer(ID.to_owned())
    },
    answer_of_wrong_service = {
        &[once(), answer(ID, "intake", true)], vec![own_run()],
        Violation::WrongService(ID.to_owned())
    },
    run_by_wrong_service = {
        &[once(), unknown()], vec![run(ID, "intake", "intake-1")],
        Violation::WrongService(ID.to_owned())
    },
    refused_but_run = {
        &[once(), done(Outcome::Refused)], vec![own_run()],
        Violation::RefusedButRun(ID.to_owned())
    },
    doubled_at_two_upstreams = {
        &[once(), answer(ID, "ledger", true)], vec![own_run(), run(ID, "ledger", "ledger-2")],
        Violation::Doubled(ID.to_owned())
    },
    doubled_at_one_upstream = {
        &[once(), unknown()], vec![own_run(), own_run()],
        Violation::Doubled(ID.to_owned())
    },
    answered_not_run = {
        &[once(), answer(ID, "ledger", true)], vec![],
        Violation::AnsweredNotRun(ID.to_owned())
    },
    never_completed = { &[once()], vec![own_run()], Violation::Unaccounted(ID.to_owned()) },
    completed_twice = {
        &[once(), unknown(), unknown()], vec![own_run()],
        Violation::Unaccounted(ID.to_owned())
    },
    never_invoked = { &[unknown()], vec![], Violation::Unaccounted(ID.to_owned()) },
    unsent = { &[], vec![own_run()], Violation::Unsent(ID.to_owned()) },
    broken_feed = {
        &[invoked(Safety::Idempotent), event(Action::Opened), broken()], vec![own_run()],
        Violation::BrokenFeed(ID.to_owned())
    },
    feed_never_opened = {
        &[invoked(Safety::Idempotent), broken()], vec![],
        Violation::BrokenFeed(ID.to_owned())
    },
    feed_left_open = {
        &[invoked(Safety::Idempotent), event(Action::Opened)], vec![own_run()],
        Violation::Unaccounted(ID.to_owned())
    },
)]
fn history_fails(
    events: &[history::Event],
    executions: Vec<history::Execution>,
    expected: Violation,
) {
    assert_eq!(check(events, executions).violations, [expected]);
}

#[test]
fn lost_ledger_is_counted_apart() {
    let answer = done(Outcome::Answered(history::Answer {
        id: ID.to_owned(),
        service: "ledger".to_owned(),
        upstream: "ledger-9".to_owned(),
        whole: true,
    }));
    let report = check(&[once(), answer], vec![]);
    assert_eq!((report.unshown, report.violations.len()), (1, 0));
}
