//! Liveness of agents, derived from heartbeats and from the reports of their watchers.

use super::{Liveness, LivenessReport, MAX_EXCEPTIONS, MemberRow, Tables, rows};
use crate::{clock, ident, member};

impl Tables {
    /// Restarts the wait for heartbeats if this process was paused, for example by the
    /// operating system.
    ///
    /// A process that did not run for a heartbeat timeout has missed heartbeats
    /// itself, so its reports are not vouching until another heartbeat timeout has
    /// passed, as after a start.
    pub(super) fn detect_pause(&mut self, now: clock::Millis) {
        if now.since(self.ticked_at) >= self.timing.heartbeat_timeout && self.synced_at.is_some() {
            self.synced_at = Some(now);
        }
        self.ticked_at = now;
    }

    /// Replaces the own report if it changed or the report period has passed.
    ///
    /// Returns whether it was replaced.
    pub(super) fn update_report(&mut self, now: clock::Millis) -> bool {
        let except = self.missing_members(now);
        let vouching = except.len() <= MAX_EXCEPTIONS
            && !self.is_isolated(now)
            && self
                .synced_at
                .is_some_and(|at| now.since(at) > self.timing.heartbeat_timeout);
        let except = if vouching { except } else { Vec::new() };
        let changed = (vouching, &except) != (self.report.vouching, &self.report.except);
        let incarnation = self.own().incarnation;
        let raised = incarnation != self.report.incarnation;
        if !changed && !raised && now.since(self.reported_at) < self.timing.report_period {
            return false;
        }
        self.reported_at = now;
        self.report = LivenessReport {
            balancer: self.me,
            incarnation,
            seq: self.report.seq + 1,
            vouching,
            except,
        };
        if let Ok(at) = self.find_balancer(self.me) {
            self.balancers[at].report = Some(self.report.clone());
            self.balancers[at].progress = Some(now);
        }
        true
    }

    /// Returns whether there are peers, but neither their reports nor heartbeats arrive.
    ///
    /// The fault is then more likely on this host's side, so the report must not vouch.
    fn is_isolated(&self, now: clock::Millis) -> bool {
        let timeout = self.timing.report_period + self.timing.period;
        let mut peers = self
            .balancers
            .iter()
            .filter(|row| row.balancer.node != self.me)
            .peekable();
        let has_peers = peers.peek().is_some();
        let has_reports = peers.any(|row| row.progress.is_some_and(|at| now.since(at) <= timeout));
        let has_heartbeats = self
            .members
            .iter()
            .any(|row| row.has_heartbeat(&self.timing, now));
        has_peers && !has_reports && !has_heartbeats
    }

    /// Returns the watched agents without a recent heartbeat, including evicted ones, which
    /// peers may still have in their tables.
    fn missing_members(&self, now: clock::Millis) -> Vec<ident::NodeId> {
        let silent = self
            .members
            .iter()
            .filter(|row| row.member.watchers.contains(&self.me))
            .filter(|row| !row.has_heartbeat(&self.timing, now))
            .map(|row| row.member.node);
        let evicted = self
            .tombstones
            .iter()
            .filter(|row| row.watched)
            .map(|row| row.tombstone.node);
        let mut missing: Vec<_> = silent.chain(evicted).collect();
        missing.sort_unstable();
        missing
    }

    pub(super) fn update_liveness(&mut self, now: clock::Millis) {
        for index in 0..self.members.len() {
            let liveness = self.liveness(&self.members[index].member, now);
            let row = &mut self.members[index];
            match liveness {
                Liveness::Unknown => {}
                Liveness::Alive => {
                    row.liveness = liveness;
                    row.died = None;
                    row.held = false;
                }
                Liveness::Dead => {
                    row.liveness = liveness;
                    row.died.get_or_insert(now);
                }
            }
        }
    }

    fn liveness(&self, member: &member::Member, now: clock::Millis) -> Liveness {
        let mut liveness = Liveness::Unknown;
        for watcher in &member.watchers {
            let Some(row) = self.balancer(*watcher) else {
                continue;
            };
            let fresh = row.is_fresh(&self.timing, now);
            let Some(report) = row
                .report
                .as_ref()
                .filter(|report| fresh && report.vouching)
            else {
                continue;
            };
            if report.reports_alive(member.node) {
                return Liveness::Alive;
            }
            liveness = Liveness::Dead;
        }
        liveness
    }

    /// Updates for each service whether its dead agents are held, that is, stay active.
    ///
    /// They are held if more than half of the service's ready agents died within the loss
    /// window, which counts as a mass failure.
    pub(super) fn update_holds(&mut self, now: clock::Millis) {
        let mut services: Vec<_> = self
            .members
            .iter()
            .filter(|row| row.liveness == Liveness::Dead)
            .map(|row| row.member.service.clone())
            .collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.update_service_hold(&service, now);
        }
    }

    fn update_service_hold(&mut self, service: &str, now: clock::Millis) {
        let window = self.timing.loss_window;
        let is_recent_loss = |row: &MemberRow| {
            row.liveness == Liveness::Dead
                && (row.held || row.died.is_some_and(|at| now.since(at) <= window))
        };
        let ready = |row: &&mut MemberRow| {
            row.member.service == service && row.member.state == member::State::Ready
        };
        // The recent losses, and all ready agents without those that died earlier.
        let mut counts = (0_usize, 0_usize);
        for row in self.members.iter_mut().filter(ready) {
            counts.0 += usize::from(is_recent_loss(row));
            counts.1 += usize::from(is_recent_loss(row) || row.liveness != Liveness::Dead);
        }
        let held = counts.0 * 2 > counts.1;
        for row in self.members.iter_mut().filter(ready) {
            row.held = held && is_recent_loss(row);
        }
    }

    pub(super) fn evict(&mut self, now: clock::Millis) {
        let timing = self.timing;
        let (evicted, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.members)
            .into_iter()
            .partition(|row| {
                row.died
                    .is_some_and(|at| now.since(at) > timing.eviction_timeout)
            });
        self.members = kept;
        for row in evicted {
            let tombstone = rows::tombstone_of(&row.member);
            let watched = row.member.watchers.contains(&self.me);
            self.add_tombstone(tombstone, watched, now);
        }
        self.tombstones
            .retain(|row| now.since(row.created) <= timing.tombstone_ttl);
        let me = self.me;
        self.balancers.retain(|row| {
            let last = row.progress.unwrap_or(row.learned);
            row.balancer.node == me || now.since(last) <= timing.eviction_timeout
        });
    }
}
