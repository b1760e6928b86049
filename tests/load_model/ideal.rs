//! Bound that the same arrivals reach when one scheduler knows all of them and every slot.

use std::{cmp::Reverse, ops::Range};

use super::{MILLI, Outcome, Pattern, Request, requests, scale};

/// A slot of an upstream.
struct Slot {
    free_at: u64,
    slowness: f64,
}

struct Scheduler<'a> {
    pattern: &'a Pattern,
    requests: Vec<Request>,
    slots: Vec<Slot>,
    /// Times at which requests were answered.
    answered: Vec<Option<u64>>,
    /// Requests that have arrived and were not started.
    waiting: Vec<usize>,
}

/// Plays a pattern with perfect knowledge: whenever a slot is free, the most urgent request
/// that can still be in time starts, or else the newest one that can still be served.
pub fn ideal(pattern: &Pattern, span: Range<u64>) -> Vec<Outcome> {
    let mut scheduler = Scheduler::new(pattern);
    scheduler.run();
    scheduler.outcomes(&(span.start * MILLI..span.end * MILLI))
}

impl<'a> Scheduler<'a> {
    fn new(pattern: &'a Pattern) -> Self {
        let requests = requests(pattern);
        let slots = pattern.slowness.iter().flat_map(|slowness| {
            (0..pattern.slots).map(|_| Slot {
                free_at: 0,
                slowness: *slowness,
            })
        });
        Self {
            pattern,
            answered: vec![None; requests.len()],
            requests,
            slots: slots.collect(),
            waiting: Vec::new(),
        }
    }

    fn run(&mut self) {
        let (mut next, mut now) = (0, 0);
        while next < self.requests.len() || !self.waiting.is_empty() {
            while next < self.requests.len() && self.requests[next].at <= now {
                self.waiting.push(next);
                next += 1;
            }
            let mut waiting = std::mem::take(&mut self.waiting);
            waiting.retain(|index| self.deadline(*index) > now);
            self.waiting = waiting;
            self.start_requests(now);
            now = self.next_event(next, now);
        }
    }

    /// Starts waiting requests while slots are free.
    fn start_requests(&mut self, now: u64) {
        while let Some(slot) = self.fastest_free_slot(now) {
            let speed = self.slots[slot].slowness * self.cold_factor(now);
            let best = (0..self.waiting.len()).max_by_key(|at| {
                let index = self.waiting[*at];
                let request = &self.requests[index];
                let class = self.pattern.kinds[request.kind].class;
                let in_time = now + scale(request.work, speed) <= self.target(index);
                (in_time, Reverse(class), request.at)
            });
            let Some(best) = best else {
                return;
            };
            let index = self.waiting.swap_remove(best);
            let end = now + scale(self.requests[index].work, speed);
            self.slots[slot].free_at = end;
            let outage = self.outage();
            let killed = now < outage.start && end > outage.start;
            if !killed && end <= self.deadline(index) {
                self.answered[index] = Some(end);
            }
        }
    }

    fn fastest_free_slot(&self, now: u64) -> Option<usize> {
        if self.outage().contains(&now) {
            return None;
        }
        (0..self.slots.len())
            .filter(|slot| self.slots[*slot].free_at <= now)
            .min_by(|a, b| self.slots[*a].slowness.total_cmp(&self.slots[*b].slowness))
    }

    /// Returns the time of the next arrival, free slot or end of the outage.
    fn next_event(&mut self, next: usize, now: u64) -> u64 {
        let outage = self.outage();
        if outage.contains(&now) {
            for slot in &mut self.slots {
                slot.free_at = outage.end;
            }
        }
        let arrival = self.requests.get(next).map(|request| request.at);
        let free = self.slots.iter().map(|slot| slot.free_at);
        let times = free.chain(arrival).filter(|at| *at > now);
        times.min().unwrap_or(now + MILLI)
    }

    /// Returns the time without power, empty if there is none.
    fn outage(&self) -> Range<u64> {
        match self.pattern.power_off {
            Some((at, down)) => at * MILLI..(at + down) * MILLI,
            None => 0..0,
        }
    }

    /// Returns how much longer work takes after the outage.
    fn cold_factor(&self, now: u64) -> f64 {
        let (length, factor) = self.pattern.cold;
        let back = self.outage().end;
        if back > 0 && (back..back + length * MILLI).contains(&now) {
            factor
        } else {
            1.0
        }
    }

    fn target(&self, index: usize) -> u64 {
        let request = &self.requests[index];
        request.at + self.pattern.kinds[request.kind].target * MILLI
    }

    fn deadline(&self, index: usize) -> u64 {
        let request = &self.requests[index];
        request.at + self.pattern.kinds[request.kind].deadline * MILLI
    }

    fn outcomes(&self, span: &Range<u64>) -> Vec<Outcome> {
        let mut outcomes = vec![Outcome::default(); self.pattern.kinds.len()];
        for (index, request) in self.requests.iter().enumerate() {
            if !span.contains(&request.at) {
                continue;
            }
            let outcome = &mut outcomes[request.kind];
            match self.answered[index] {
                Some(end) if end <= self.target(index) => outcome.in_time += 1,
                Some(_) => outcome.late += 1,
                None => outcome.failed += 1,
            }
        }
        outcomes
    }
}
