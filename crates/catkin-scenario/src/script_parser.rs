//! Parses scenario files: one statement per line.

use std::ops::Range;
use std::time::Duration;

use miette::NamedSource;

use crate::line_reader::{LineError, LineReader, LineResult, ScriptError};
use crate::script::{
    CallerLoad, FleetSetup, LoadKind, NodeKind, NodeName, ScenarioMeasure, ScenarioScript,
    ScenarioStep, ScriptExpectation, TimedStep,
};
use crate::tally::ScenarioClass;

const MAX_ROUTERS: u32 = 64;
const MAX_SERVERS: u32 = 256;
const MAX_SLOTS: u32 = 1_024;
const MAX_TEAMS: u32 = 256;
const MAX_CHATS: u32 = 100_000;
const MAX_ANSWER_TOKENS: u32 = 10_000;
const MAX_PROMPT_TOKENS: u32 = 100_000;
const MAX_PLATFORM_CALLS_PER_SECOND: u32 = 100_000;
const MAX_POISON_REPEATS: u32 = 1_000;
const MIN_BOUND_PERCENT: u32 = 100;

const LINE_WORDS: &[&str] = &[
    "seed", "run", "domains", "routers", "engines", "services", "teams", "bound", "deadline",
    "load", "at", "expect",
];
const STEP_WORDS: &[&str] = &[
    "crash", "start", "leave", "stop", "pause", "flap", "split", "heal", "network", "platform",
    "events", "probes", "poison", "apply", "expect",
];
const NODE_WORDS: &[&str] = &["router", "engine", "service"];
const SERVER_WORDS: &[&str] = &["engine", "service"];
const CLASS_WORDS: &[&str] = &["quick", "long"];

/// Parses the text of a scenario file.
///
/// `name` is the file name that errors and reports show.
///
/// # Errors
///
/// Returns the first error with its line, its position and, where there are any, the allowed words.
pub fn parse_script(name: &str, text: &str) -> Result<ScenarioScript, Box<ScriptError>> {
    let mut script = ScenarioScript {
        name: name.to_owned(),
        setup: FleetSetup::default(),
        loads: Vec::new(),
        steps: Vec::new(),
        expectations: Vec::new(),
    };
    // Names and times are checked against the setup, whose lines may follow those that use them.
    for setup_pass in [true, false] {
        let mut offset = 0;
        for (index, line) in text.split('\n').enumerate() {
            let mut parser = LineParser { script: &mut script, setup_pass, offset };
            parser
                .parse_line(line)
                .map_err(|error| locate_error(name, text, index + 1, offset, error))?;
            offset += line.len() + 1;
        }
    }
    script.steps.sort_by_key(|step| step.at);
    Ok(script)
}

fn locate_error(
    name: &str,
    text: &str,
    line: usize,
    offset: usize,
    error: LineError,
) -> Box<ScriptError> {
    Box::new(ScriptError {
        message: error.message,
        line,
        help: error.help,
        source_code: NamedSource::new(name, text.to_owned()),
        span: shift_range(error.range, offset).into(),
    })
}

fn shift_range(range: Range<usize>, offset: usize) -> Range<usize> {
    range.start + offset..range.end + offset
}

/// Parses one line in one of two passes: setup lines in the first, all others in the second.
struct LineParser<'a> {
    script: &'a mut ScenarioScript,
    setup_pass: bool,
    offset: usize,
}

impl LineParser<'_> {
    fn parse_line(&mut self, line: &str) -> LineResult<()> {
        let mut reader = LineReader::new(line);
        if reader.is_at_end() {
            return Ok(());
        }
        let word = reader.read_word_of("a line of the scenario language", LINE_WORDS)?;
        let in_setup = !matches!(word, "load" | "at" | "expect");
        if in_setup != self.setup_pass {
            return Ok(());
        }
        match word {
            "load" => self.read_load(&mut reader)?,
            "at" => self.read_step(&mut reader)?,
            "expect" => {
                let expectation = read_expectation(&mut reader, self.offset)?;
                self.script.expectations.push(expectation);
            }
            word => read_setup(word, &mut reader, &mut self.script.setup)?,
        }
        reader.expect_end()
    }

    fn read_load(&mut self, reader: &mut LineReader) -> LineResult<()> {
        let kind = match reader.read_word_of("what callers ask for", &["chats", "records"])? {
            "chats" => LoadKind::Chats,
            _ => LoadKind::Records,
        };
        let mut load = CallerLoad::new(kind, reader.read_rate("how much")?);
        let teams = self.script.setup.teams;
        while !reader.is_at_end() {
            let words = &["team", "class", "chats", "tokens", "prompt", "from", "to"];
            match reader.read_word_of("a property of the load", words)? {
                "team" => load.team = reader.read_team(teams)?,
                "class" => load.class = read_class(reader)?,
                "chats" => {
                    load.chats = reader.read_count("the number of chats", 1..MAX_CHATS + 1)?
                }
                "tokens" => {
                    load.tokens = reader.read_count("the tokens", 1..MAX_ANSWER_TOKENS + 1)?
                }
                "prompt" => {
                    load.prompt = reader.read_count("the prompt", 1..MAX_PROMPT_TOKENS + 1)?
                }
                "from" => load.from = reader.read_time("the start")?,
                _ => load.to = Some(reader.read_time("the end")?),
            }
        }
        if load.to.is_some_and(|to| to <= load.from) {
            return Err(reader.error_at_last("the load ends before it starts"));
        }
        self.script.loads.push(load);
        Ok(())
    }

    fn read_step(&mut self, reader: &mut LineReader) -> LineResult<()> {
        let at = reader.read_time("when the step is done")?;
        if at > self.script.setup.run {
            return Err(reader.error_at_last("the step is after the end of the run"));
        }
        let word = reader.read_word_of("a step", STEP_WORDS)?;
        let step = read_step(word, reader, &self.script.setup, self.offset)?;
        self.script.steps.push(TimedStep { at, step });
        Ok(())
    }
}

fn read_setup(word: &str, reader: &mut LineReader, setup: &mut FleetSetup) -> LineResult<()> {
    match word {
        "seed" => setup.seed = reader.read_number("the seed")?,
        "run" => setup.run = reader.read_time("the length of the run")?,
        "domains" => setup.domains = read_domains(reader)?,
        "routers" => {
            setup.routers = reader.read_count("the number of routers", 1..MAX_ROUTERS + 1)?
        }
        "engines" => {
            setup.engines = reader.read_count("the number of engines", 1..MAX_SERVERS + 1)?;
            if reader.skip_word("slots") {
                setup.slots = reader.read_count("the number of slots", 1..MAX_SLOTS + 1)?;
            }
        }
        "services" => {
            setup.services = reader.read_count("the number of services", 1..MAX_SERVERS + 1)?;
        }
        "teams" => setup.teams = reader.read_count("the number of teams", 1..MAX_TEAMS + 1)?,
        "bound" => setup.bound_percent = read_bound(reader)?,
        _ => {
            let class = read_class(reader)?;
            let deadline = reader.read_time("the deadline")?;
            match class {
                ScenarioClass::Quick => setup.quick_deadline = deadline,
                ScenarioClass::Long => setup.long_deadline = deadline,
            }
        }
    }
    Ok(())
}

fn read_domains(reader: &mut LineReader) -> LineResult<Vec<String>> {
    let mut domains = vec![reader.read_any_word("a failure domain, a word")?];
    while !reader.is_at_end() {
        let domain = reader.read_any_word("a failure domain, a word")?;
        if domains.contains(&domain) {
            return Err(reader.error_at_last("the failure domain is named twice"));
        }
        domains.push(domain);
    }
    Ok(domains)
}

fn read_bound(reader: &mut LineReader) -> LineResult<u32> {
    let bound = reader.read_percent("the bound")?;
    if bound <= MIN_BOUND_PERCENT {
        return Err(reader.error_at_last("the bound must be above 100%"));
    }
    Ok(bound)
}

fn read_class(reader: &mut LineReader) -> LineResult<ScenarioClass> {
    Ok(match reader.read_word_of("a class", CLASS_WORDS)? {
        "quick" => ScenarioClass::Quick,
        _ => ScenarioClass::Long,
    })
}

fn read_step(
    word: &str,
    reader: &mut LineReader,
    setup: &FleetSetup,
    offset: usize,
) -> LineResult<ScenarioStep> {
    match word {
        "crash" => Ok(ScenarioStep::Crash(read_node(reader, setup, NODE_WORDS)?)),
        "start" => Ok(ScenarioStep::Start(read_node(reader, setup, NODE_WORDS)?)),
        "leave" => Ok(ScenarioStep::Leave(read_node(reader, setup, SERVER_WORDS)?)),
        "stop" => Ok(ScenarioStep::Stop(read_router(reader, setup)?)),
        "pause" => {
            let router = read_router(reader, setup)?;
            reader.read_word("for")?;
            Ok(ScenarioStep::Pause(router, reader.read_time("the length of the pause")?))
        }
        "flap" => {
            let node = read_node(reader, setup, SERVER_WORDS)?;
            reader.read_word("every")?;
            let interval = reader.read_time("the interval")?;
            if interval.is_zero() {
                return Err(reader.error_at_last("the interval must not be zero"));
            }
            reader.read_word("for")?;
            Ok(ScenarioStep::Flap(node, interval, reader.read_time("how long")?))
        }
        "split" => read_split(reader, setup),
        "heal" => Ok(ScenarioStep::Heal),
        "network" => read_network(reader),
        "platform" => read_platform(reader),
        "events" => match reader.read_word_of("a change of cache events", &["lag", "gaps"])? {
            "lag" => Ok(ScenarioStep::EventLag(reader.read_time("the lag")?)),
            _ => Ok(ScenarioStep::EventGaps(reader.read_share("the missing events")?)),
        },
        "probes" => {
            reader.read_word("lag")?;
            Ok(ScenarioStep::ProbeLag(reader.read_time("the lag")?))
        }
        "poison" => {
            reader.read_word("team")?;
            let team = reader.read_team(setup.teams)?;
            reader.read_word("times")?;
            Ok(ScenarioStep::Poison(
                team,
                reader.read_count("how often", 1..MAX_POISON_REPEATS + 1)?,
            ))
        }
        "apply" => {
            reader.read_word("bound")?;
            let bound = read_bound(reader)?;
            if !reader.skip_word("against") {
                return Ok(ScenarioStep::Apply(bound));
            }
            Ok(ScenarioStep::ApplyBoth(bound, read_bound(reader)?))
        }
        _ => Ok(ScenarioStep::Expect(read_expectation(reader, offset)?)),
    }
}

fn read_node(
    reader: &mut LineReader,
    setup: &FleetSetup,
    kinds: &[&'static str],
) -> LineResult<NodeName> {
    match reader.read_word_of("what", kinds)? {
        "router" => reader.read_node(NodeKind::Router, setup.routers),
        "engine" => reader.read_node(NodeKind::Engine, setup.engines),
        _ => reader.read_node(NodeKind::Service, setup.services),
    }
}

fn read_router(reader: &mut LineReader, setup: &FleetSetup) -> LineResult<u32> {
    reader.read_word("router")?;
    Ok(reader.read_node(NodeKind::Router, setup.routers)?.number)
}

fn read_split(reader: &mut LineReader, setup: &FleetSetup) -> LineResult<ScenarioStep> {
    reader.read_word("routers")?;
    let mut isolated = vec![reader.read_node(NodeKind::Router, setup.routers)?.number];
    while !reader.is_at_end() {
        isolated.push(reader.read_node(NodeKind::Router, setup.routers)?.number);
    }
    Ok(ScenarioStep::Split(isolated))
}

fn read_network(reader: &mut LineReader) -> LineResult<ScenarioStep> {
    match reader.read_word_of("a change of the network", &["loss", "repeat", "delay"])? {
        "loss" => Ok(ScenarioStep::NetworkLoss(reader.read_share("the loss")?)),
        "repeat" => Ok(ScenarioStep::NetworkRepeat(reader.read_share("the repetition")?)),
        _ => {
            let min_delay = reader.read_time("the shortest delay")?;
            reader.read_word("to")?;
            let max_delay = reader.read_time("the longest delay")?;
            if max_delay < min_delay {
                return Err(reader.error_at_last("the longest delay is below the shortest"));
            }
            Ok(ScenarioStep::NetworkDelay(min_delay, max_delay))
        }
    }
}

fn read_platform(reader: &mut LineReader) -> LineResult<ScenarioStep> {
    let words = &["down", "up", "slow", "lose", "limit"];
    match reader.read_word_of("a change of the platform", words)? {
        "down" => Ok(ScenarioStep::PlatformUp(false)),
        "up" => Ok(ScenarioStep::PlatformUp(true)),
        "slow" => Ok(ScenarioStep::PlatformSlow(reader.read_time("the time of a call")?)),
        "lose" => {
            reader.read_word("answers")?;
            Ok(ScenarioStep::PlatformAnswerLoss(reader.read_share("the lost answers")?))
        }
        _ => {
            let limit =
                reader.read_count("calls in a second", 1..MAX_PLATFORM_CALLS_PER_SECOND + 1)?;
            Ok(ScenarioStep::PlatformLimit(limit))
        }
    }
}

fn read_expectation(reader: &mut LineReader, offset: usize) -> LineResult<ScriptExpectation> {
    let words: Vec<&'static str> = ScenarioMeasure::ALL.iter().map(|(_, word)| *word).collect();
    let word = reader.read_word_of("a measure", &words)?;
    let start = reader.last_range().start;
    let found = ScenarioMeasure::ALL.iter().find(|(_, known)| *known == word);
    let measure = found.map_or(ScenarioMeasure::Answered, |(measure, _)| *measure);
    let compare = reader.read_comparison()?;
    let limit = reader.read_number("the limit")?;
    let span = shift_range(start..reader.last_range().end, offset).into();
    Ok(ScriptExpectation { measure, compare, limit, span })
}

/// Returns the time that calls may take to end after the run before they count as unanswered.
pub(crate) fn compute_drain_limit(setup: &FleetSetup) -> Duration {
    setup.quick_deadline.max(setup.long_deadline) + Duration::from_secs(60)
}
