//! The cases of the third review.

use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{Failure, Record, Router, Server, temporary_folder, write_config};
use crate::requester::Sent;
use crate::server::failure_body;
use crate::store::Store;

/// `ContactMs` of the deployments, and a little more.
const IN_TOUCH: Duration = Duration::from_millis(3_300);

/// Which disruptions a case has.
fn has_trouble(part: &str) -> bool {
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    trouble == "1" || trouble.split(',').any(|found| found == part)
}

/// Plays a case; returns whether its rule was broken.
pub fn play(case: &str, folder: &str) -> Result<bool, Failure> {
    let record = Record::create(folder)?;
    let settings = temporary_folder(case)?;
    let store = Store::new();
    let mut routers = Vec::new();
    for number in 1..=3 {
        routers.push(Router::prepare(&settings, number, "mittelland-a", store.listen()?)?);
    }
    write_config(&store);
    let is_broken = match case {
        "restored" => play_restored(&record, &store, &mut routers),
        "in-place" => play_in_place(&record, &store, &mut routers),
        "rolling-lost" => play_rolling(&record, &store, &mut routers, ReleaseStart::Before),
        "rolling-joined" => play_rolling(&record, &store, &mut routers, ReleaseStart::Amid),
        "cut-failure" => play_cut_failure(&record, &store, &mut routers),
        _ => Err("no such case".into()),
    };
    drop(routers);
    let keeps = std::env::var_os("KEEP_LOGS").is_some();
    if keeps {
        eprintln!("logs: {}", settings.display());
    } else {
        let _ = std::fs::remove_dir_all(&settings);
    }
    is_broken
}

fn start_all(record: &Record, routers: &mut [Router]) -> Result<(), Failure> {
    for router in routers.iter_mut() {
        router.start()?;
    }
    for router in routers.iter() {
        router.wait_ready()?;
        router.mark_started()?;
    }
    record.add("all routers are ready");
    Ok(())
}

fn start_engine(
    id: &str,
    options: &[&str],
    store: &Store,
    record: &Record,
) -> Result<Server, Failure> {
    Server::start(id, "estimator-llm", "v1", options, store, record)
}

/// Sends a generation about a subject of its own. `fields` are further header lines.
fn send_generation(
    record: &Record,
    router: &Router,
    id: &str,
    number: usize,
    fields: &str,
) -> Sent {
    let fields = format!(
        "X-Catkinpitch-Model: m\r\nX-Catkinpitch-Token-Usage: 829,300\r\n\
         X-Catkinpitch-Prefix-Hash: {:x}:119,{:x}:580,{:x}:130\r\n{fields}",
        0x100 + number % 20,
        0x2000 + number,
        0x30000 + number
    );
    record.add(&format!("sent {id} to {}", router.name));
    Sent::new(router.callers, "/slide/2f", id, &fields, &format!("prompt {number}"))
}

fn begin_stream(record: &Record, router: &Router, id: &str, number: usize) -> Sent {
    send_generation(record, router, id, number, "X-Catkinpitch-Deadline-Ms: 12000\r\n")
}

/// LOST: streams that requesters take up again after all routers were killed at the moment of a drill in which the
/// store came back from a copy.
fn play_restored(record: &Record, store: &Store, routers: &mut [Router]) -> Result<bool, Failure> {
    const STREAMS: usize = 18;
    let options = ["gap=200", "events=36"];
    let servers = [
        start_engine("i-1", &options, store, record)?,
        start_engine("i-2", &options, store, record)?,
    ];
    start_all(record, routers)?;
    sleep(IN_TOUCH);

    let copy = store.copy();
    let streams: Vec<Sent> = (0..STREAMS)
        .map(|number| begin_stream(record, &routers[number % 3], &format!("s-{number}"), number))
        .collect();
    sleep(Duration::from_millis(2_500));
    for stream in &streams {
        let events = stream.answer().events.len();
        record.add(&format!("stream {} has {events} events", stream.id));
        if events == 0 {
            return Err("a stream did not begin".into());
        }
    }

    if has_trouble("drill") {
        record.add("the store is away");
        store.go_away();
    }
    if has_trouble("kill") {
        record.add("all routers are killed");
        routers.iter_mut().for_each(Router::kill);
    }
    streams.iter().for_each(Sent::close);
    sleep(Duration::from_millis(1_000));
    if has_trouble("drill") {
        store.come_back(copy);
        record.add("the store is back from the copy; its era has risen");
    }
    if has_trouble("kill") {
        start_all(record, routers)?;
    }
    sleep(IN_TOUCH);

    let (mut resumed, mut new) = (Vec::new(), Vec::new());
    for (number, stream) in streams.iter().enumerate() {
        let last = stream.answer().events.last().map_or(0, |(last, _)| *last);
        // Requesters retry at other machines.
        let router = &routers[(number + 1) % 3];
        let fields = format!(
            "X-Catkinpitch-Deadline-Ms: 5000\r\nResumes: {}\r\nLast-Event-Id: {last}\r\n",
            stream.id
        );
        let id = format!("t-{number}");
        resumed.push(send_generation(record, router, &id, number, &fields));
        new.push(begin_stream(record, router, &format!("n-{number}"), 100 + number));
    }
    sleep(Duration::from_millis(2_500));
    let (went_on, began) = (count_begun(record, &resumed), count_begun(record, &new));
    let (resumed, new) = (resumed.len(), new.len());
    drop(servers);
    record.add(&format!("{went_on} of {resumed} streams went on; {began} of {new} new ones began"));
    Ok(resumed >= 12 && 2 * went_on * new < began * resumed)
}

/// ORDER: a server starts again under its `Id` with newer software while one router is cut off from the store, and
/// crashes again a little later.
fn play_in_place(record: &Record, store: &Store, routers: &mut [Router]) -> Result<bool, Failure> {
    const SERVERS: usize = 9;
    const STREAMS: usize = 144;
    let options = ["gap=200", "events=40"];
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        servers.push(start_engine(&format!("i-{number}"), &options, store, record)?);
    }
    start_all(record, routers)?;
    sleep(IN_TOUCH);

    if has_trouble("cut") {
        record.add("edge-1 is cut off from the store");
        store.cut(0, true);
    }
    sleep(Duration::from_millis(300));
    if has_trouble("crash") {
        servers[0].kill();
        record.add("server i-1 crashed");
        sleep(Duration::from_millis(800));
        servers[0].start_again("v2", store)?;
    }
    sleep(Duration::from_millis(500));
    // The first two thirds at the router that is cut off.
    let streams: Vec<Sent> = (0..STREAMS)
        .map(|number| {
            let router = &routers[[0, 0, 0, 0, 1, 2][number % 6]];
            begin_stream(record, router, &format!("s-{number}"), number)
        })
        .collect();
    sleep(Duration::from_millis(1_500));
    if has_trouble("crash") {
        servers[0].kill();
        record.add("server i-1 crashed");
    }
    sleep(Duration::from_millis(2_000));
    if has_trouble("cut") {
        store.cut(0, false);
        record.add("edge-1 reaches the store again");
    }
    let mut joined = 0;
    for stream in &streams {
        let answer = stream.wait(Duration::from_secs(12), |answer| answer.complete);
        let versions: BTreeSet<&str> =
            answer.events.iter().filter_map(|(_, data)| data.split(' ').nth(1)).collect();
        let (status, events) = (answer.status, answer.events.len());
        record.add(&format!("{}: {status}, {events} events of {versions:?}", stream.id));
        joined += usize::from(versions.len() > 1);
    }
    drop(servers);
    record.add(&format!("{joined} streams hold events of two software versions"));
    Ok(joined > 2)
}

/// MIXED: a server crashes while it sends a failure that has neither a length nor chunks.
fn play_cut_failure(
    record: &Record,
    store: &Store,
    routers: &mut [Router],
) -> Result<bool, Failure> {
    const REQUESTS: usize = 12;
    let options = ["gap=0", "events=0", "pause=400"];
    let mut servers = Vec::new();
    for id in ["d-1", "d-2", "d-3", "d-4"] {
        servers.push(Server::start(id, "quote-desk", "v1", &options, store, record)?);
    }
    start_all(record, routers)?;
    sleep(IN_TOUCH);

    let requests: Vec<Sent> = (0..REQUESTS)
        .map(|number| {
            let (id, body) = (format!("c-{number}"), format!("confirm quote {number}"));
            let fields = "X-Catkinpitch-Deadline-Ms: 1500\r\n";
            let router = &routers[number % 3];
            record.add(&format!("sent {id} to {}", router.name));
            Sent::new(router.callers, "/confirm/2f", &id, fields, &body)
        })
        .collect();
    sleep(Duration::from_millis(200));
    if has_trouble("crash") {
        servers[0].kill();
        record.add("server d-1 crashed");
    }
    let mut cut = 0;
    for request in &requests {
        let answer = request.wait(Duration::from_secs(3), |answer| answer.complete);
        let (status, seal) = (answer.status, &answer.seal);
        let server = seal.split('.').next().unwrap_or_default();
        let is_whole = answer.body == failure_body(server, &request.id);
        let is_cut = !seal.is_empty() && answer.complete && !is_whole;
        cut += usize::from(is_cut);
        let verdict = if is_cut { "looks complete and is a part" } else { "" };
        record.add(&format!("{}: {status}, seal {seal:?}, {} {verdict}", request.id, answer.body));
    }
    drop(servers);
    record.add(&format!("{cut} answers look complete and are parts of their server's"));
    Ok(cut > 0)
}

/// When the new software version of a release appears.
#[derive(Clone, Copy, PartialEq)]
enum ReleaseStart {
    /// Before the first router is stopped.
    Before,
    /// When all routers are being stopped.
    Amid,
}

/// LOST or ORDER: streams that requesters take up again after routers were stopped one after the other, in a release.
fn play_rolling(
    record: &Record,
    store: &Store,
    routers: &mut [Router],
    release: ReleaseStart,
) -> Result<bool, Failure> {
    const STREAMS: usize = 60;
    const GAP: Duration = Duration::from_millis(1_500);
    let options = ["gap=200", "events=56"];
    let mut servers = Vec::new();
    for id in ["i-1", "i-2", "i-3", "i-4", "i-5"] {
        servers.push(start_engine(id, &options, store, record)?);
    }
    start_all(record, routers)?;
    sleep(IN_TOUCH);
    // Two of five servers are replaced, one a second: the new one starts first, then the old one drains.
    let mut replaced = if has_trouble("release") { 0 } else { 2 };
    let replace = |servers: &mut Vec<Server>, number: usize| -> Result<(), Failure> {
        let id = format!("j-{}", number + 1);
        servers.push(Server::start(&id, "estimator-llm", "v2", &options, store, record)?);
        servers[number].register(store, "draining");
        record.add(&format!("{} drains", servers[number].id));
        Ok(())
    };
    while replaced < 2 && release == ReleaseStart::Before {
        replace(&mut servers, replaced)?;
        replaced += 1;
        sleep(Duration::from_millis(1_000));
    }
    sleep(Duration::from_millis(500));

    // Long streams at the first two routers, which so need their grace period.
    let long: Vec<Sent> = (0..8)
        .map(|number| begin_stream(record, &routers[number % 2], &format!("l-{number}"), number))
        .collect();
    sleep(Duration::from_millis(500));
    let stops = has_trouble("term");
    let started = Instant::now();
    let mut streams: Vec<Sent> = Vec::new();
    let mut resumed_at = None;
    let mut stopped = [false; 3];
    while resumed_at.is_none_or(|at| Instant::now() < at) {
        for (number, router) in routers.iter_mut().enumerate() {
            if stops && !stopped[number] && started.elapsed() >= GAP * number as u32 {
                stopped[number] = true;
                record.add(&format!("SIGTERM to {}", router.name));
                router.terminate()?;
            }
            if stops && router.has_ended() {
                record.add(&format!("{} has ended; starting it again", router.name));
                router.kill();
                router.start()?;
                router.wait_ready()?;
                record.add(&format!("{} is ready", router.name));
            }
        }
        let since_last = started.elapsed().saturating_sub(GAP * 2);
        if replaced < 2 && since_last >= Duration::from_millis(200 + 1_000 * replaced as u64) {
            replace(&mut servers, replaced)?;
            replaced += 1;
        }
        // New streams at the last router until two and a half seconds after its SIGTERM.
        let due = since_last.as_millis().saturating_sub(500) as usize / 32;
        if streams.len() < STREAMS && streams.len() < due {
            let number = 100 + streams.len();
            streams.push(begin_stream(record, &routers[2], &format!("s-{number}"), number));
        }
        if resumed_at.is_none() && since_last >= Duration::from_millis(7_600) {
            streams.iter().for_each(Sent::close);
            resumed_at = Some(Instant::now() + Duration::from_millis(1_200));
        }
        sleep(Duration::from_millis(5));
    }

    let (mut resumed, mut new) = (Vec::new(), Vec::new());
    for (number, stream) in streams.iter().enumerate() {
        let answer = stream.answer();
        let Some((last, data)) = answer.events.last().filter(|_| !answer.complete) else {
            continue;
        };
        let served = servers.iter().filter(|server| data.ends_with(&server.version)).count();
        record.add(&format!("{} ended after event {last} of {data}; {served} servers", stream.id));
        let fields = format!(
            "X-Catkinpitch-Deadline-Ms: 3000\r\nResumes: {}\r\nLast-Event-Id: {last}\r\n",
            stream.id
        );
        let id = format!("t-{number}");
        let sent = send_generation(record, &routers[0], &id, 100 + number, &fields);
        resumed.push((stream, sent));
        new.push(begin_stream(record, &routers[0], &format!("n-{number}"), 200 + number));
    }
    sleep(Duration::from_millis(1_500));
    let mut joined = 0;
    for (first, second) in &resumed {
        let (first_events, second_events) = (first.answer().events, second.answer().events);
        let events = first_events.iter().chain(&second_events);
        let versions: BTreeSet<&str> =
            events.filter_map(|(_, data)| data.split(' ').nth(1)).collect();
        if versions.len() > 1 {
            record.add(&format!("{} and {} hold events of {versions:?}", first.id, second.id));
            joined += 1;
        }
    }
    let resumed: Vec<Sent> = resumed.into_iter().map(|(_, sent)| sent).collect();
    let (went_on, began) = (count_begun(record, &resumed), count_begun(record, &new));
    let (resumed, new) = (resumed.len(), new.len());
    drop((long, servers));
    record.add(&format!(
        "{went_on} of {resumed} streams went on; {began} of {new} new ones began; {joined} hold events \
         of two software versions"
    ));
    if resumed < 12 {
        return Err("fewer than 12 streams were under way".into());
    }
    Ok(match release {
        ReleaseStart::Before => 2 * went_on * new < began * resumed,
        ReleaseStart::Amid => joined > 2,
    })
}

/// Records the answers to generations, and counts those with an event.
fn count_begun(record: &Record, sent: &[Sent]) -> usize {
    for request in sent {
        let answer = request.answer();
        let (status, events) = (answer.status, answer.events.len());
        record.add(&format!("{}: {status}, {events} events {}", request.id, answer.body));
    }
    sent.iter().filter(|sent| !sent.answer().events.is_empty()).count()
}
