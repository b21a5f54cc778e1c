//! Runs one stand-in until it is interrupted.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use catkin_standin::{
    EngineOptions, EngineStandin, PlatformOptions, PlatformStandin, ServiceOptions, ServiceStandin,
    WeightOptions, WeightStandin,
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use miette::IntoDiagnostic;

fn main() -> miette::Result<()> {
    start_log()?;
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("platform", flags)) => run_platform(flags),
        Some(("engine", flags)) => run_engine(flags),
        Some(("service", flags)) => run_service(flags),
        Some(("weights", flags)) => run_weights(flags),
        _ => Ok(()),
    }
}

fn start_log() -> miette::Result<()> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .format(|out, message, record| out.finish(format_args!("{} {message}", record.level())))
        .chain(std::io::stderr())
        .apply()
        .into_diagnostic()
}

fn command() -> Command {
    Command::new("catkin-standin")
        .about("Runs a stand-in of a router's counterpart")
        .subcommand_required(true)
        .subcommand(platform_command())
        .subcommand(engine_command())
        .subcommand(service_command())
        .subcommand(weights_command())
}

fn platform_command() -> Command {
    Command::new("platform")
        .about("Object API and list of VMs")
        .arg(listen_flag("127.0.0.1:7100"))
        .arg(flag("latency-ms", "0", "Milliseconds before each answer"))
        .arg(flag("writes-per-second", "400", "Writes allowed a second"))
        .arg(flag("reads-per-second", "2000", "Reads allowed a second"))
        .arg(flag("lost-answer-share", "0", "Share of writes whose answer is lost, 0 to 1"))
        .arg(flag("list-lag-ms", "0", "Age of the list of VMs in milliseconds"))
        .arg(flag("seed", "0", "Seed of lost answers"))
}

fn engine_command() -> Command {
    Command::new("engine")
        .about("Model engine")
        .arg(listen_flag("127.0.0.1:7200"))
        .arg(flag("models", "estimator", "Loaded models, separated by commas"))
        .arg(flag("slots", "16", "Requests that run at once"))
        .arg(flag("queue-limit", "64", "Requests that wait for a slot"))
        .arg(flag("first-token-ms", "50", "Milliseconds to the first token"))
        .arg(flag("prefill-us", "100", "Microseconds for each uncached prompt token"))
        .arg(flag("token-ms", "25", "Milliseconds between two tokens"))
        .arg(flag("cache-chats", "1024", "Chats whose prefix is cached"))
        .arg(flag("event-lag-ms", "500", "Age of cache events in milliseconds"))
        .arg(flag("event-gap-share", "0", "Share of cache events that are lost, 0 to 1"))
        .arg(flag("load-lag-ms", "500", "Age of the reported load in milliseconds"))
        .arg(flag("poison", "", "Content that crashes the engine; none if empty"))
        .arg(flag("downtime-ms", "2000", "Milliseconds of a crash"))
        .arg(flag("seed", "0", "Seed of event gaps"))
        .arg(switch("no-resume", "Resume no streams"))
        .arg(switch("ignore-fence", "Take orders under an old fencing number"))
        .arg(switch("leaving", "Report that it is leaving"))
}

fn service_command() -> Command {
    Command::new("service")
        .about("Plain service whose calls may not be repeated")
        .arg(listen_flag("127.0.0.1:7300"))
        .arg(flag("work-ms", "5", "Milliseconds of a call"))
        .arg(flag("slots", "64", "Calls that run at once"))
        .arg(flag("lost-answer-share", "0", "Share of calls whose answer is lost, 0 to 1"))
        .arg(flag("seed", "0", "Seed of lost answers"))
        .arg(switch("no-lookup", "Answer no look-ups"))
        .arg(switch("ignore-fence", "Take orders under an old fencing number"))
}

fn weights_command() -> Command {
    Command::new("weights")
        .about("Rate-limited weight store")
        .arg(listen_flag("127.0.0.1:7400"))
        .arg(flag("loads-per-second", "2", "Loads allowed a second"))
        .arg(flag("load-ms", "500", "Milliseconds of a load"))
}

fn listen_flag(default: &'static str) -> Arg {
    flag("listen", default, "Address to listen on")
}

fn flag(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn switch(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

fn value<Value>(flags: &ArgMatches, name: &str) -> miette::Result<Value>
where
    Value: FromStr,
    Value::Err: std::fmt::Display,
{
    let text = text(flags, name);
    text.parse().map_err(|error| miette::miette!("--{name} {text:?}: {error}"))
}

fn text<'a>(flags: &'a ArgMatches, name: &str) -> &'a str {
    flags.get_one::<String>(name).map_or("", String::as_str)
}

fn share(flags: &ArgMatches, name: &str) -> miette::Result<f64> {
    let share: f64 = value(flags, name)?;
    if (0.0..=1.0).contains(&share) {
        return Ok(share);
    }
    Err(miette::miette!("--{name} {share}: not between 0 and 1"))
}

fn millis(flags: &ArgMatches, name: &str) -> miette::Result<Duration> {
    Ok(Duration::from_millis(value(flags, name)?))
}

fn run_platform(flags: &ArgMatches) -> miette::Result<()> {
    let options = PlatformOptions {
        address: value(flags, "listen")?,
        latency: millis(flags, "latency-ms")?,
        writes_per_second: value(flags, "writes-per-second")?,
        reads_per_second: value(flags, "reads-per-second")?,
        lost_answer_share: share(flags, "lost-answer-share")?,
        list_lag: millis(flags, "list-lag-ms")?,
        seed: value(flags, "seed")?,
    };
    let platform = PlatformStandin::start(&options).into_diagnostic()?;
    wait_for_interrupt(platform.address())?;
    log::info!("standin: {:?}", platform.counts());
    platform.stop();
    Ok(())
}

fn run_engine(flags: &ArgMatches) -> miette::Result<()> {
    let poison = text(flags, "poison");
    let options = EngineOptions {
        address: value(flags, "listen")?,
        models: text(flags, "models").split(',').map(str::to_owned).collect(),
        slots: value(flags, "slots")?,
        queue_limit: value(flags, "queue-limit")?,
        first_token_delay: millis(flags, "first-token-ms")?,
        prefill_per_token: Duration::from_micros(value(flags, "prefill-us")?),
        token_interval: millis(flags, "token-ms")?,
        max_cached_chats: value(flags, "cache-chats")?,
        event_lag: millis(flags, "event-lag-ms")?,
        event_gap_share: share(flags, "event-gap-share")?,
        load_lag: millis(flags, "load-lag-ms")?,
        poison: (!poison.is_empty()).then(|| poison.to_owned()),
        downtime: millis(flags, "downtime-ms")?,
        resumes: !flags.get_flag("no-resume"),
        checks_fence: !flags.get_flag("ignore-fence"),
        seed: value(flags, "seed")?,
        ..EngineOptions::default()
    };
    let engine = EngineStandin::start(options).into_diagnostic()?;
    engine.set_leaving(flags.get_flag("leaving"));
    wait_for_interrupt(engine.address())?;
    log::info!("standin: {:?}", engine.counts());
    engine.stop();
    Ok(())
}

fn run_service(flags: &ArgMatches) -> miette::Result<()> {
    let options = ServiceOptions {
        address: value(flags, "listen")?,
        work_time: millis(flags, "work-ms")?,
        slots: value(flags, "slots")?,
        lost_answer_share: share(flags, "lost-answer-share")?,
        supports_look_up: !flags.get_flag("no-lookup"),
        checks_fence: !flags.get_flag("ignore-fence"),
        seed: value(flags, "seed")?,
        ..ServiceOptions::default()
    };
    let service = ServiceStandin::start(options).into_diagnostic()?;
    wait_for_interrupt(service.address())?;
    log::info!("standin: {:?}", service.counts());
    service.stop();
    Ok(())
}

fn run_weights(flags: &ArgMatches) -> miette::Result<()> {
    let options = WeightOptions {
        address: value(flags, "listen")?,
        loads_per_second: value(flags, "loads-per-second")?,
        load_time: millis(flags, "load-ms")?,
    };
    let store = WeightStandin::start(&options).into_diagnostic()?;
    wait_for_interrupt(store.address())?;
    log::info!("standin: {:?}", store.counts());
    store.stop();
    Ok(())
}

fn wait_for_interrupt(address: SocketAddr) -> miette::Result<()> {
    log::info!("standin: listening on {address}");
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    runtime.block_on(tokio::signal::ctrl_c()).into_diagnostic()
}
