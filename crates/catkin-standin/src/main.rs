//! Runs one stand-in until the process is interrupted.

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
    let matches = build_command().get_matches();
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

fn build_command() -> Command {
    Command::new("catkin-standin")
        .about("Runs a stand-in for a server that routers call")
        .subcommand_required(true)
        .subcommand(build_platform_command())
        .subcommand(build_engine_command())
        .subcommand(build_service_command())
        .subcommand(build_weights_command())
}

fn build_platform_command() -> Command {
    Command::new("platform")
        .about("Platform: object API and list of VMs")
        .arg(build_listen_flag("127.0.0.1:7100"))
        .arg(build_flag("latency-ms", "0", "Delay before each call is served, in milliseconds"))
        .arg(build_flag("writes-per-second", "400", "Maximum writes per second"))
        .arg(build_flag("reads-per-second", "2000", "Maximum reads, lists and watches per second"))
        .arg(build_flag(
            "lost-answer-share",
            "0",
            "Fraction of writes whose answer is lost, 0 to 1",
        ))
        .arg(build_flag("list-lag-ms", "0", "Minimum age of the list of VMs, in milliseconds"))
        .arg(build_flag("seed", "0", "Seed of the random choice of lost answers"))
}

fn build_engine_command() -> Command {
    Command::new("engine")
        .about("Model engine")
        .arg(build_listen_flag("127.0.0.1:7200"))
        .arg(build_flag("models", "estimator", "Names of the loaded models, separated by commas"))
        .arg(build_flag("slots", "16", "Maximum number of requests that run at once"))
        .arg(build_flag("queue-limit", "64", "Maximum number of requests that wait for a slot"))
        .arg(build_flag("first-token-ms", "50", "Time to the first token, in milliseconds"))
        .arg(build_flag(
            "prefill-us",
            "100",
            "Prefill time per uncached prompt token, in microseconds",
        ))
        .arg(build_flag("token-ms", "25", "Time between two tokens, in milliseconds"))
        .arg(build_flag("cache-chats", "1024", "Maximum number of chats whose prefix is cached"))
        .arg(build_flag(
            "event-lag-ms",
            "500",
            "Minimum age of reported cache events, in milliseconds",
        ))
        .arg(build_flag("event-gap-share", "0", "Fraction of cache events that are lost, 0 to 1"))
        .arg(build_flag("load-lag-ms", "500", "Age of the reported load, in milliseconds"))
        .arg(build_flag("poison", "", "Content that crashes the engine; none if empty"))
        .arg(build_flag("downtime-ms", "2000", "Downtime after a crash, in milliseconds"))
        .arg(build_flag("seed", "0", "Seed of incarnations, event gaps and lost answers"))
        .arg(build_switch("no-resume", "Decline to resume streams"))
        .arg(build_switch("ignore-fence", "Accept orders with an old fencing token"))
        .arg(build_switch("leaving", "Report that the engine is leaving"))
}

fn build_service_command() -> Command {
    Command::new("service")
        .about("Plain service whose calls must not be repeated")
        .arg(build_listen_flag("127.0.0.1:7300"))
        .arg(build_flag("work-ms", "5", "Duration of a call, in milliseconds"))
        .arg(build_flag("slots", "64", "Maximum number of calls that run at once"))
        .arg(build_flag("lost-answer-share", "0", "Fraction of calls whose answer is lost, 0 to 1"))
        .arg(build_flag("seed", "0", "Seed of the random choice of lost answers"))
        .arg(build_switch("no-lookup", "Refuse look-ups"))
        .arg(build_switch("ignore-fence", "Accept orders with an old fencing token"))
}

fn build_weights_command() -> Command {
    Command::new("weights")
        .about("Rate-limited weight store")
        .arg(build_listen_flag("127.0.0.1:7400"))
        .arg(build_flag("loads-per-second", "2", "Maximum loads per second"))
        .arg(build_flag("load-ms", "500", "Duration of a load, in milliseconds"))
}

fn build_listen_flag(default: &'static str) -> Arg {
    build_flag("listen", default, "Address to listen on")
}

fn build_flag(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn build_switch(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

fn parse_value<Value>(flags: &ArgMatches, name: &str) -> miette::Result<Value>
where
    Value: FromStr,
    Value::Err: std::fmt::Display,
{
    let text = find_text(flags, name);
    text.parse().map_err(|error| miette::miette!("--{name}: {text:?} is not valid: {error}"))
}

fn find_text<'a>(flags: &'a ArgMatches, name: &str) -> &'a str {
    flags.get_one::<String>(name).map_or("", String::as_str)
}

fn parse_share(flags: &ArgMatches, name: &str) -> miette::Result<f64> {
    let share: f64 = parse_value(flags, name)?;
    if (0.0..=1.0).contains(&share) {
        return Ok(share);
    }
    Err(miette::miette!("--{name}: {share} is not between 0 and 1"))
}

fn parse_millis(flags: &ArgMatches, name: &str) -> miette::Result<Duration> {
    Ok(Duration::from_millis(parse_value(flags, name)?))
}

fn run_platform(flags: &ArgMatches) -> miette::Result<()> {
    let options = PlatformOptions {
        address: parse_value(flags, "listen")?,
        latency: parse_millis(flags, "latency-ms")?,
        writes_per_second: parse_value(flags, "writes-per-second")?,
        reads_per_second: parse_value(flags, "reads-per-second")?,
        lost_answer_share: parse_share(flags, "lost-answer-share")?,
        list_lag: parse_millis(flags, "list-lag-ms")?,
        seed: parse_value(flags, "seed")?,
    };
    let platform = PlatformStandin::start(&options).into_diagnostic()?;
    wait_for_interrupt(platform.address())?;
    log::info!("standin: interrupted; stopping. counts={:?}", platform.counts());
    platform.stop();
    Ok(())
}

fn run_engine(flags: &ArgMatches) -> miette::Result<()> {
    let poison = find_text(flags, "poison");
    let options = EngineOptions {
        address: parse_value(flags, "listen")?,
        models: find_text(flags, "models").split(',').map(str::to_owned).collect(),
        slots: parse_value(flags, "slots")?,
        queue_limit: parse_value(flags, "queue-limit")?,
        first_token_delay: parse_millis(flags, "first-token-ms")?,
        prefill_per_token: Duration::from_micros(parse_value(flags, "prefill-us")?),
        token_interval: parse_millis(flags, "token-ms")?,
        max_cached_chats: parse_value(flags, "cache-chats")?,
        event_lag: parse_millis(flags, "event-lag-ms")?,
        event_gap_share: parse_share(flags, "event-gap-share")?,
        load_lag: parse_millis(flags, "load-lag-ms")?,
        poison: (!poison.is_empty()).then(|| poison.to_owned()),
        downtime: parse_millis(flags, "downtime-ms")?,
        resumes: !flags.get_flag("no-resume"),
        checks_fencing: !flags.get_flag("ignore-fence"),
        seed: parse_value(flags, "seed")?,
        ..EngineOptions::default()
    };
    let engine = EngineStandin::start(options).into_diagnostic()?;
    engine.set_leaving(flags.get_flag("leaving"));
    wait_for_interrupt(engine.address())?;
    log::info!("standin: interrupted; stopping. counts={:?}", engine.counts());
    engine.stop();
    Ok(())
}

fn run_service(flags: &ArgMatches) -> miette::Result<()> {
    let options = ServiceOptions {
        address: parse_value(flags, "listen")?,
        work_time: parse_millis(flags, "work-ms")?,
        slots: parse_value(flags, "slots")?,
        lost_answer_share: parse_share(flags, "lost-answer-share")?,
        supports_look_up: !flags.get_flag("no-lookup"),
        checks_fencing: !flags.get_flag("ignore-fence"),
        seed: parse_value(flags, "seed")?,
        ..ServiceOptions::default()
    };
    let service = ServiceStandin::start(options).into_diagnostic()?;
    wait_for_interrupt(service.address())?;
    log::info!("standin: interrupted; stopping. counts={:?}", service.counts());
    service.stop();
    Ok(())
}

fn run_weights(flags: &ArgMatches) -> miette::Result<()> {
    let options = WeightOptions {
        address: parse_value(flags, "listen")?,
        loads_per_second: parse_value(flags, "loads-per-second")?,
        load_time: parse_millis(flags, "load-ms")?,
    };
    let store = WeightStandin::start(&options).into_diagnostic()?;
    wait_for_interrupt(store.address())?;
    log::info!("standin: interrupted; stopping. counts={:?}", store.counts());
    store.stop();
    Ok(())
}

fn wait_for_interrupt(address: SocketAddr) -> miette::Result<()> {
    log::info!("standin: listening on {address}");
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    runtime.block_on(tokio::signal::ctrl_c()).into_diagnostic()
}
