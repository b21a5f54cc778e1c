//! Invariants of admission under random sequences of operations and handovers: the bound holds, no
//! request is granted twice, and every grant request is answered.

mod fixture;

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{ClassId, ClockTime, RequestId, ServerId, VmId};
use catkin_policy::{AdmissionOwner, GrantAnswer, GrantResult, ReleaseOutcome, admission_bound};
use fixture::{DEADLINE_MILLIS, LONG, QUICK, ask, probe, release, rules, spec, steady_owner, vm};
use proptest::prelude::*;

const SERVERS: u64 = 3;
const ENTRIES: u64 = 3;
const POOL_OPEN: u32 = 40;
const POOL_WEIGHT: u32 = 10;
const START: ClockTime = ClockTime::from_millis(10_000);

#[derive(Debug, Clone)]
enum Operation {
    Ask { server: u64, must_queue: bool, quick: bool, entry: u64 },
    Repeat { index: usize },
    Release { index: usize },
    Handover { server: u64 },
    TakeOver { server: u64 },
    DropRouter { entry: u64 },
    Probe { server: u64 },
    Advance { millis: u64 },
}

/// Two owners and the actual state of the requests.
struct Model {
    now: ClockTime,
    owners: [AdmissionOwner; 2],
    owner: BTreeMap<ServerId, usize>,
    granted: BTreeMap<RequestId, (ServerId, VmId)>,
    waiting: BTreeSet<RequestId>,
    requested: Vec<(u64, u64, bool, ClassId, u64)>,
    /// Requests whose answers reached their entry routers, which therefore don't repeat them.
    answered: BTreeSet<RequestId>,
}

impl Model {
    fn new() -> Self {
        let specs: Vec<_> = (1..=SERVERS).map(spec).collect();
        let first = steady_owner(START, &specs);
        let mut second = AdmissionOwner::new(vm(2));
        second.set_rules(rules());
        Self {
            now: START,
            owners: [first, second],
            owner: specs.iter().map(|spec| (spec.server, 0)).collect(),
            granted: BTreeMap::new(),
            waiting: BTreeSet::new(),
            requested: Vec::new(),
            answered: BTreeSet::new(),
        }
    }

    fn run(&mut self, operation: &Operation) {
        for owner_state in &mut self.owners {
            owner_state.record_pool_load(self.now, &fixture::steady_load(POOL_OPEN, POOL_WEIGHT));
        }
        match operation {
            Operation::Ask { server, must_queue, quick, entry } => {
                let request = self.requested.len() as u64;
                let class = if *quick { QUICK } else { LONG };
                self.requested.push((request, *server, *must_queue, class, *entry));
                self.request_grant(request as usize);
            }
            Operation::Repeat { index } => self.repeat(*index),
            Operation::Release { index } => self.release(*index),
            Operation::Handover { server } => self.hand_over(ServerId(*server)),
            Operation::TakeOver { server } => self.take_over(ServerId(*server)),
            Operation::DropRouter { entry } => self.drop_router(vm(*entry)),
            Operation::Probe { server } => self.probe(ServerId(*server)),
            Operation::Advance { millis } => self.now = self.now.plus_millis(*millis),
        }
        self.admit_waiting();
    }

    fn open_on(&self, server: ServerId) -> u32 {
        self.granted.values().filter(|(other, _)| *other == server).count() as u32
    }

    fn request_grant(&mut self, index: usize) {
        let (request, server, must_queue, class, entry) = self.requested[index];
        let mut message = ask(request, server);
        message.must_queue = must_queue;
        message.class = class;
        message.entry = vm(entry);
        let owner = self.owner[&ServerId(server)];
        let answer = self.owners[owner].handle_ask(self.now, &message);
        assert_eq!(answer.request, message.request);
        self.handle_answer(&answer, true);
    }

    fn repeat(&mut self, index: usize) {
        if self.requested.is_empty() {
            return;
        }
        let index = index % self.requested.len();
        let request = RequestId(self.requested[index].0);
        let known = self.granted.contains_key(&request) || self.waiting.contains(&request);
        let known = known && !self.answered.contains(&request);
        let before = self.granted.len();
        if known {
            self.request_grant(index);
            assert!(
                self.granted.len() <= before,
                "a repeated grant request was granted a second time"
            );
        }
    }

    fn handle_answer(&mut self, answer: &GrantAnswer, direct: bool) {
        match answer.result {
            GrantResult::Granted { .. } => self.record_grant(answer, direct),
            GrantResult::Queued => {
                self.waiting.insert(answer.request);
            }
            _ => {
                self.waiting.remove(&answer.request);
            }
        }
    }

    fn record_grant(&mut self, answer: &GrantAnswer, direct: bool) {
        self.waiting.remove(&answer.request);
        let known = self.granted.get(&answer.request).copied();
        if let Some((server, _)) = known {
            assert!(direct && server == answer.server, "a request was granted twice");
            return;
        }
        let bound = admission_bound(POOL_OPEN, POOL_WEIGHT, 1, rules().bound_percent);
        let load = self.open_on(answer.server) + 1;
        assert!(load <= bound, "{load} requests on a server with bound {bound}");
        self.granted.insert(answer.request, (answer.server, answer.entry));
    }

    fn release(&mut self, index: usize) {
        if self.requested.is_empty() {
            return;
        }
        let (request, server, ..) = self.requested[index % self.requested.len()];
        let owner = self.owner[&ServerId(server)];
        self.granted.remove(&RequestId(request));
        self.waiting.remove(&RequestId(request));
        let message = release(request, server, ReleaseOutcome::Done);
        self.owners[owner].handle_release(self.now, &message);
    }

    /// The owner cedes `server` to the other owner, which imports the grants.
    fn hand_over(&mut self, server: ServerId) {
        let from = self.owner[&server];
        let to = 1 - from;
        let to_vm = self.owners[to].vm();
        self.set_ownership(to, server, true);
        let Some(export) = self.owners[from].cede(self.now, server, to_vm) else {
            return;
        };
        self.owner.insert(server, to);
        self.owners[to].import_grants(self.now, &export);
    }

    /// The owner dies. The other one takes over without an import, by the reports of the servers.
    fn take_over(&mut self, server: ServerId) {
        let from = self.owner[&server];
        let to = 1 - from;
        let lost: Vec<ServerId> =
            self.owner.iter().filter(|(_, owner)| **owner == from).map(|(id, _)| *id).collect();
        let mut fresh = AdmissionOwner::new(self.owners[from].vm());
        fresh.set_rules(rules());
        self.owners[from] = fresh;
        self.waiting.clear();
        self.answered.extend(self.granted.keys().copied());
        for server in lost {
            self.set_ownership(to, server, true);
            self.owner.insert(server, to);
            self.owners[to].give_up_handover(self.now, server);
            self.probe(server);
        }
    }

    fn set_ownership(&mut self, index: usize, server: ServerId, owned: bool) {
        let mine = self.owner.iter().filter(|(id, owner)| **owner == index && **id != server);
        let mut specs: Vec<_> = mine.map(|(id, _)| spec(id.0)).collect();
        specs.extend(owned.then(|| spec(server.0)));
        // A ceded server can be reclaimed only after a delay of 10 s.
        self.now = self.now.plus_millis(10_000);
        self.owners[index].set_owned(self.now, &specs);
    }

    fn drop_router(&mut self, entry: VmId) {
        self.granted.retain(|_, (_, holder)| *holder != entry);
        let requested = &self.requested;
        self.waiting.retain(|request| {
            requested.iter().any(|(id, .., other)| *id == request.0 && vm(*other) != entry)
        });
        for owner_state in &mut self.owners {
            owner_state.drop_router(self.now, entry);
        }
    }

    fn probe(&mut self, server: ServerId) {
        let owner = self.owner[&server];
        let report = probe(self.open_on(server));
        self.owners[owner].record_probe(self.now, server, &report);
    }

    fn admit_waiting(&mut self) {
        for index in 0..self.owners.len() {
            for answer in self.owners[index].poll(self.now) {
                self.handle_answer(&answer, false);
            }
        }
    }
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let server = 1..=SERVERS;
    let entry = 1..=ENTRIES;
    let one = prop_oneof![
        8 => (server.clone(), any::<bool>(), any::<bool>(), entry.clone()).prop_map(
            |(server, must_queue, quick, entry)| Operation::Ask { server, must_queue, quick, entry }
        ),
        2 => any::<usize>().prop_map(|index| Operation::Repeat { index }),
        5 => any::<usize>().prop_map(|index| Operation::Release { index }),
        1 => server.clone().prop_map(|server| Operation::Handover { server }),
        1 => server.clone().prop_map(|server| Operation::TakeOver { server }),
        1 => entry.prop_map(|entry| Operation::DropRouter { entry }),
        2 => server.prop_map(|server| Operation::Probe { server }),
        2 => (1u64..2_000).prop_map(|millis| Operation::Advance { millis }),
    ];
    prop::collection::vec(one, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn bound_holds_and_every_grant_request_is_answered(operations in operations()) {
        let mut model = Model::new();
        for operation in &operations {
            model.run(operation);
        }
        model.now = model.now.plus_millis(u64::from(DEADLINE_MILLIS));
        model.admit_waiting();
        prop_assert!(model.waiting.is_empty(), "requests without an answer: {:?}", model.waiting);
    }
}
