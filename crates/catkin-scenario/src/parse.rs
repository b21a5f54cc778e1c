//! Reads scenarios: one step a line.

use std::ops::Range;
use std::time::Duration;

use miette::NamedSource;

use crate::line::{LineFault, LineReader, LineResult, ScriptError};
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
const MAX_TOKENS: u32 = 10_000;
const MAX_PROMPT: u32 = 100_000;
const MAX_PER_SECOND: u32 = 100_000;
const MAX_REPEATS: u32 = 1_000;
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

/// Reads a scenario, or says which line is wrong and why.
pub fn parse_script(name: &str, text: &str) -> Result<ScenarioScript, Box<ScriptError>> {
    let mut script = ScenarioScript {
        name: name.to_owned(),
        setup: FleetSetup::default(),
        loads: Vec::new(),
        steps: Vec::new(),
        expectations: Vec::new(),
    };
    // Names are checked against the set-up, wherever in the file that is written.
    for setup_pass in [true, false] {
        let mut offset = 0;
        for (index, line) in text.split('\n').enumerate() {
            let mut pass = LinePass { script: &mut script, setup_pass, offset };
            pass.read(line).map_err(|fault| place_fault(name, text, index + 1, offset, fault))?;
            offset += line.len() + 1;
        }
    }
    script.steps.sort_by_key(|step| step.at);
    Ok(script)
}

fn place_fault(
    name: &str,
    text: &str,
    line: usize,
    offset: usize,
    fault: LineFault,
) -> Box<ScriptError> {
    Box::new(ScriptError {
        message: fault.message,
        line,
        help: fault.help,
        source_code: NamedSource::new(name, text.to_owned()),
        span: shift(fault.range, offset).into(),
    })
}

fn shift(range: Range<usize>, offset: usize) -> Range<usize> {
    range.start + offset..range.end + offset
}

/// Reads one line, in the pass that it belongs to.
struct LinePass<'a> {
    script: &'a mut ScenarioScript,
    setup_pass: bool,
    offset: usize,
}

impl LinePass<'_> {
    fn read(&mut self, line: &str) -> LineResult<()> {
        let mut reader = LineReader::new(line);
        if reader.is_done() {
            return Ok(());
        }
        let word = reader.word_of("a line of the scenario language", LINE_WORDS)?;
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
        reader.end()
    }

    fn read_load(&mut self, reader: &mut LineReader) -> LineResult<()> {
        let kind = match reader.word_of("what callers ask for", &["chats", "records"])? {
            "chats" => LoadKind::Chats,
            _ => LoadKind::Records,
        };
        let mut load = CallerLoad::new(kind, reader.rate("how much")?);
        let teams = self.script.setup.teams;
        while !reader.is_done() {
            let words = &["team", "class", "chats", "tokens", "prompt", "from", "to"];
            match reader.word_of("a property of the load", words)? {
                "team" => load.team = reader.team(teams)?,
                "class" => load.class = read_class(reader)?,
                "chats" => load.chats = reader.count("the number of chats", 1..MAX_CHATS + 1)?,
                "tokens" => load.tokens = reader.count("the tokens", 1..MAX_TOKENS + 1)?,
                "prompt" => load.prompt = reader.count("the prompt", 1..MAX_PROMPT + 1)?,
                "from" => load.from = reader.time("the start")?,
                _ => load.to = Some(reader.time("the end")?),
            }
        }
        if load.to.is_some_and(|to| to <= load.from) {
            return Err(reader.fault_before("the load ends before it starts"));
        }
        self.script.loads.push(load);
        Ok(())
    }

    fn read_step(&mut self, reader: &mut LineReader) -> LineResult<()> {
        let at = reader.time("when the step is done")?;
        if at > self.script.setup.run {
            return Err(reader.fault_before("the step is after the end of the run"));
        }
        let word = reader.word_of("a step", STEP_WORDS)?;
        let step = read_step(word, reader, &self.script.setup, self.offset)?;
        self.script.steps.push(TimedStep { at, step });
        Ok(())
    }
}

fn read_setup(word: &str, reader: &mut LineReader, setup: &mut FleetSetup) -> LineResult<()> {
    match word {
        "seed" => setup.seed = reader.number("the seed")?,
        "run" => setup.run = reader.time("the length of the run")?,
        "domains" => setup.domains = read_domains(reader)?,
        "routers" => setup.routers = reader.count("the number of routers", 1..MAX_ROUTERS + 1)?,
        "engines" => {
            setup.engines = reader.count("the number of engines", 1..MAX_SERVERS + 1)?;
            if reader.skip_word("slots") {
                setup.slots = reader.count("the number of slots", 1..MAX_SLOTS + 1)?;
            }
        }
        "services" => {
            setup.services = reader.count("the number of services", 1..MAX_SERVERS + 1)?;
        }
        "teams" => setup.teams = reader.count("the number of teams", 1..MAX_TEAMS + 1)?,
        "bound" => setup.bound_percent = read_bound(reader)?,
        _ => {
            let class = read_class(reader)?;
            let deadline = reader.time("the deadline")?;
            match class {
                ScenarioClass::Quick => setup.quick_deadline = deadline,
                ScenarioClass::Long => setup.long_deadline = deadline,
            }
        }
    }
    Ok(())
}

fn read_domains(reader: &mut LineReader) -> LineResult<Vec<String>> {
    let mut domains = vec![reader.any_word("a failure domain, a word")?];
    while !reader.is_done() {
        let domain = reader.any_word("a failure domain, a word")?;
        if domains.contains(&domain) {
            return Err(reader.fault_before("the failure domain is named twice"));
        }
        domains.push(domain);
    }
    Ok(domains)
}

fn read_bound(reader: &mut LineReader) -> LineResult<u32> {
    let bound = reader.percent("the bound")?;
    if bound <= MIN_BOUND_PERCENT {
        return Err(reader.fault_before("the bound must be above 100%"));
    }
    Ok(bound)
}

fn read_class(reader: &mut LineReader) -> LineResult<ScenarioClass> {
    Ok(match reader.word_of("a class", CLASS_WORDS)? {
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
            reader.word("for")?;
            Ok(ScenarioStep::Pause(router, reader.time("the length of the pause")?))
        }
        "flap" => {
            let node = read_node(reader, setup, SERVER_WORDS)?;
            reader.word("every")?;
            let interval = reader.time("the interval")?;
            if interval.is_zero() {
                return Err(reader.fault_before("the interval must not be zero"));
            }
            reader.word("for")?;
            Ok(ScenarioStep::Flap(node, interval, reader.time("how long")?))
        }
        "split" => read_split(reader, setup),
        "heal" => Ok(ScenarioStep::Heal),
        "network" => read_network(reader),
        "platform" => read_platform(reader),
        "events" => match reader.word_of("a change of cache events", &["lag", "gaps"])? {
            "lag" => Ok(ScenarioStep::EventLag(reader.time("the lag")?)),
            _ => Ok(ScenarioStep::EventGaps(reader.share("the missing events")?)),
        },
        "probes" => {
            reader.word("lag")?;
            Ok(ScenarioStep::ProbeLag(reader.time("the lag")?))
        }
        "poison" => {
            reader.word("team")?;
            let team = reader.team(setup.teams)?;
            reader.word("times")?;
            Ok(ScenarioStep::Poison(team, reader.count("how often", 1..MAX_REPEATS + 1)?))
        }
        "apply" => {
            reader.word("bound")?;
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
    match reader.word_of("what", kinds)? {
        "router" => reader.node(NodeKind::Router, setup.routers),
        "engine" => reader.node(NodeKind::Engine, setup.engines),
        _ => reader.node(NodeKind::Service, setup.services),
    }
}

fn read_router(reader: &mut LineReader, setup: &FleetSetup) -> LineResult<u32> {
    reader.word("router")?;
    Ok(reader.node(NodeKind::Router, setup.routers)?.number)
}

fn read_split(reader: &mut LineReader, setup: &FleetSetup) -> LineResult<ScenarioStep> {
    reader.word("routers")?;
    let mut apart = vec![reader.node(NodeKind::Router, setup.routers)?.number];
    while !reader.is_done() {
        apart.push(reader.node(NodeKind::Router, setup.routers)?.number);
    }
    Ok(ScenarioStep::Split(apart))
}

fn read_network(reader: &mut LineReader) -> LineResult<ScenarioStep> {
    match reader.word_of("a change of the network", &["loss", "repeat", "delay"])? {
        "loss" => Ok(ScenarioStep::NetworkLoss(reader.share("the loss")?)),
        "repeat" => Ok(ScenarioStep::NetworkRepeat(reader.share("the repetition")?)),
        _ => {
            let least = reader.time("the shortest delay")?;
            reader.word("to")?;
            let most = reader.time("the longest delay")?;
            if most < least {
                return Err(reader.fault_before("the longest delay is below the shortest"));
            }
            Ok(ScenarioStep::NetworkDelay(least, most))
        }
    }
}

fn read_platform(reader: &mut LineReader) -> LineResult<ScenarioStep> {
    let words = &["down", "up", "slow", "lose", "limit"];
    match reader.word_of("a change of the platform", words)? {
        "down" => Ok(ScenarioStep::PlatformUp(false)),
        "up" => Ok(ScenarioStep::PlatformUp(true)),
        "slow" => Ok(ScenarioStep::PlatformSlow(reader.time("the time of a call")?)),
        "lose" => {
            reader.word("answers")?;
            Ok(ScenarioStep::PlatformLoses(reader.share("the lost answers")?))
        }
        _ => {
            let limit = reader.count("calls in a second", 1..MAX_PER_SECOND + 1)?;
            Ok(ScenarioStep::PlatformLimit(limit))
        }
    }
}

fn read_expectation(reader: &mut LineReader, offset: usize) -> LineResult<ScriptExpectation> {
    let words: Vec<&'static str> = ScenarioMeasure::ALL.iter().map(|(_, word)| *word).collect();
    let word = reader.word_of("a measure", &words)?;
    let start = reader.last_range().start;
    let found = ScenarioMeasure::ALL.iter().find(|(_, known)| *known == word);
    let measure = found.map_or(ScenarioMeasure::Answered, |(measure, _)| *measure);
    let compare = reader.compare()?;
    let limit = reader.number("the limit")?;
    let span = shift(start..reader.last_range().end, offset).into();
    Ok(ScriptExpectation { measure, compare, limit, span })
}

/// Longest time that a scenario's calls may still be open after its run.
pub(crate) fn grace_of(setup: &FleetSetup) -> Duration {
    setup.quick_deadline.max(setup.long_deadline) + Duration::from_secs(60)
}
