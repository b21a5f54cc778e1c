//! Learns the speed of simulated servers without a network: engines of different deployments, slow
//! servers, and servers that recover.

use catkin_base::{ClockTime, ServerId};
use catkin_entry::{
    CandidateState, LoadBounds, SelectionQuery, ServerCandidate, SoftwareKey, SpeedBook,
    StartedSample, select_server,
};

const SERVICE: &str = "s";
const SERVERS: u64 = 12;
const OPEN_MILLIS: u64 = 300;
const EVENT_MILLIS: f64 = 30.0;

/// A pool of servers that answer after the time that their speed takes.
struct TestPool {
    book: SpeedBook,
    now: u64,
    tokens_per_milli: f64,
    /// Factors of the servers, by which they take longer.
    factors: [f64; SERVERS as usize],
}

impl TestPool {
    fn new(tokens_per_milli: f64) -> Self {
        Self {
            book: SpeedBook::default(),
            now: 0,
            tokens_per_milli,
            factors: [1.0; SERVERS as usize],
        }
    }

    fn clock(&self) -> ClockTime {
        ClockTime::from_millis(self.now)
    }

    /// Time of an answer of `server` that has `tokens` to prefill.
    fn answer_millis(&self, server: u64, tokens: u64) -> f64 {
        let normal = 12.0 + tokens as f64 / self.tokens_per_milli;
        normal * self.factors[server as usize]
    }

    /// Sends each server a request each 100 ms, of changing length.
    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 100;
            for server in 0..SERVERS {
                let tokens = 200 + (self.now / 100 + server) % 7 * 900;
                self.record(server, tokens);
            }
        }
    }

    fn record(&mut self, server: u64, tokens: u64) {
        let millis = self.answer_millis(server, tokens) as u64;
        let sample = StartedSample { tokens, millis };
        self.book.record_start(self.clock(), SERVICE, sample);
        let gap = EVENT_MILLIS * self.factors[server as usize];
        self.book.record_pace(self.clock(), SERVICE, ServerId(server), gap);
    }

    fn factor(&self, server: u64) -> f64 {
        self.book.slow_factor(self.clock(), ServerId(server))
    }
}

fn candidate(server: u64, load: u32, slow_factor: f64) -> ServerCandidate {
    ServerCandidate {
        server: ServerId(server),
        load,
        unread_tokens: 0,
        slots: 6,
        same_domain: true,
        cached_tokens: 0,
        cache_fill: 0.0,
        slow_factor,
        software: SoftwareKey(1),
        is_restricted: false,
        state: CandidateState::Available,
    }
}

fn bounds() -> LoadBounds {
    LoadBounds { soft_factor: 1.6, soft_extra: 2.0, hard_factor: 1.84, hard_extra: 2.0 }
}

#[test]
fn the_speed_of_engines_three_times_slower_or_faster_is_learned() {
    for speed in [20.0, 60.0, 180.0] {
        let mut pool = TestPool::new(speed);

        pool.run(20_000);

        let learned = pool.book.tokens_per_milli(SERVICE);
        assert!((0.7..1.4).contains(&(learned / speed)), "{speed}: {learned}");
        let expected = pool.book.expected_millis(SERVICE, 3_000) / pool.answer_millis(0, 3_000);
        assert!((0.7..1.4).contains(&expected), "{speed}: {expected}");
    }
}

#[test]
fn servers_of_equal_speed_count_as_normal_whatever_their_speed() {
    for speed in [20.0, 60.0, 180.0] {
        let mut pool = TestPool::new(speed);

        for _ in 0..20 {
            pool.run(500);
            assert!((0..SERVERS).all(|server| pool.factor(server) == 1.0), "speed {speed}");
        }
    }
}

#[test]
fn a_server_that_turns_slow_is_noticed_and_counts_as_normal_again_once_it_recovered() {
    let mut pool = TestPool::new(60.0);
    pool.run(10_000);

    pool.factors[3] = 4.0;
    pool.run(1_500);
    let slow = pool.factor(3);
    pool.factors[3] = 1.0;
    pool.run(8_000);

    assert!((2.0..=8.0).contains(&slow), "{slow}");
    assert_eq!(pool.factor(3), 1.0);
}

#[test]
fn a_slow_server_without_requests_is_tried_again() {
    let mut pool = TestPool::new(60.0);
    pool.run(10_000);
    pool.factors[3] = 4.0;
    pool.run(2_000);

    pool.now += 15_000;
    pool.book.remove_expired(pool.clock());

    assert_eq!(pool.factor(3), 1.0);
}

#[test]
fn one_late_answer_does_not_make_a_server_slow() {
    let mut pool = TestPool::new(60.0);
    pool.run(10_000);

    pool.book.record_pace(pool.clock(), SERVICE, ServerId(3), EVENT_MILLIS * 20.0);

    assert_eq!(pool.factor(3), 1.0);
}

/// Guards against servers that count as slow after moments in which the machine was busy: all were late.
#[test]
fn lateness_that_all_servers_show_at_once_makes_none_slow() {
    let mut pool = TestPool::new(60.0);
    pool.run(10_000);

    for _ in 0..5 {
        pool.factors = [5.0; SERVERS as usize];
        pool.run(300);
        pool.factors = [1.0; SERVERS as usize];
        assert!((0..SERVERS).all(|server| pool.factor(server) == 1.0), "{}", pool.now);
        pool.run(700);
    }
}

/// Guards against servers that get no requests while the others get them all: those that answered in moments of
/// shared lateness counted as slow, and idle servers differ by nothing else.
#[test]
fn requests_stay_even_over_servers_that_are_late_together() {
    for busy_millis in [100, 250, 400] {
        for factor in [2.0, 3.0, 5.0, 8.0] {
            let taken = count_taken(busy_millis, factor);
            let most = taken.iter().max().unwrap();
            assert!(
                taken.iter().all(|count| count * 2 > *most),
                "{busy_millis} {factor} {taken:?}"
            );
        }
    }
}

/// Sends one request after the other to the servers that count as fastest, on a machine that is busy for
/// `busy_millis` of each second, so that answers take longer by `factor`. Returns the requests of each server.
fn count_taken(busy_millis: u64, factor: f64) -> [u32; 4] {
    let mut book = SpeedBook::default();
    let mut taken = [0u32; 4];
    for request in 0..1_000u64 {
        let millis = request * 20;
        let now = ClockTime::from_millis(millis);
        let slow_factor = |server| book.slow_factor(now, ServerId(server));
        let least = (0..4).map(slow_factor).fold(f64::MAX, f64::min);
        let fastest: Vec<u64> = (0..4).filter(|server| slow_factor(*server) == least).collect();
        let server = fastest[(request * 7 / 3) as usize % fastest.len()];
        taken[server as usize] += 1;
        let is_busy = millis % 1_000 < busy_millis;
        let pace = if is_busy { EVENT_MILLIS * factor } else { EVENT_MILLIS };
        book.record_pace(now, SERVICE, ServerId(server), pace);
    }
    taken
}

#[test]
fn a_server_that_is_slow_beside_others_that_are_late_at_times_is_noticed() {
    let mut pool = TestPool::new(60.0);
    pool.run(10_000);

    for moment in 0..10 {
        let shared = if moment % 2 == 0 { 4.0 } else { 1.0 };
        pool.factors = [shared; SERVERS as usize];
        pool.factors[3] = shared * 4.0;
        pool.run(300);
    }

    assert!(pool.factor(3) >= 2.0, "{}", pool.factor(3));
}

#[test]
fn a_factor_reported_by_another_router_counts_for_a_while_and_is_not_reported_on() {
    let mut book = SpeedBook::default();
    let now = ClockTime::from_millis(10);

    book.record_peer_factor(now, ServerId(5), 3.0);

    assert_eq!(book.slow_factor(now.plus_millis(1_000), ServerId(5)), 3.0);
    assert_eq!(book.slow_factor(now.plus_millis(2_000), ServerId(5)), 1.0);
    assert_eq!(book.local_slow(now).count(), 0);
}

/// A pool of plain servers in which some answer four times slower gives them less work, and still
/// some when the others are full.
#[test]
fn slow_servers_get_less_work() {
    let mut taken = [0u32; SERVERS as usize];
    let mut ends: Vec<(u64, u64)> = Vec::new();
    let query = |affinity| SelectionQuery {
        affinity,
        shared_tokens: 0,
        second_copy: false,
        token_millis: 1.0 / 60.0,
        answer_millis: 30.0,
        queue_millis: 0.0,
        spread: None,
    };
    let factor = |server: u64| if server < 4 { 4.0 } else { 1.0 };

    for request in 0..3_000u64 {
        let now = request * 6;
        ends.retain(|(_, end)| *end > now);
        let load = |server: u64| ends.iter().filter(|(other, _)| *other == server).count() as u32;
        let servers: Vec<ServerCandidate> =
            (0..SERVERS).map(|server| candidate(server, load(server), factor(server))).collect();
        let selection = select_server(query(request), &servers, &bounds()).unwrap();
        let server = selection.server.0;
        taken[server as usize] += 1;
        ends.push((server, now + OPEN_MILLIS * factor(server) as u64));
    }

    let slow = f64::from(taken[..4].iter().sum::<u32>()) / 4.0;
    let normal = f64::from(taken[4..].iter().sum::<u32>()) / 8.0;
    assert!(slow < normal / 3.0, "{taken:?}");
}
