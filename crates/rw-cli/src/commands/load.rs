//! `load`: runs reproducible load tests on a simulated fleet, and compares decision policies.

use super::CommandSpec;
use crate::{
    CliError,
    settings::{parse, text},
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use rw_core::Split;
use rw_gate::{RequestRate, TargetSpeeds};
use rw_load::{
    Comparison, Deployment, EngineFault, EngineFaultKind, EngineSpeeds, Experiment, Fault, NodeCut,
    PaceReports, Profile, Reclaim, RelayOptions, ScheduledFault, Silence, SizeMode, SpeedKnowledge,
    Variant, compare, decision_cost_table, html_report, run_relay, run_sockets, run_table,
    run_virtual,
};
use std::path::Path;

/// Simulated seconds of each run with `--relay`; longer than the surges of a deployment, which end
/// after 32 s.
const RELAY_SECONDS: f64 = 34.0;

/// Returns the specification of the command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "load",
        build,
        run,
    }
}

fn build() -> Command {
    Command::new("load")
        .about("Measures the decisions under the load of a profile, with a seed, on a simulated fleet")
        .arg(
            Arg::new("profile")
                .long("profile")
                .default_value("nilebell")
                .value_parser(["nilebell", "khabar-saar"])
                .help("Profile of the fleet and its load"),
        )
        .arg(number_arg("load", "1.2", "Factor on the profile's request rates; 1 is the capacity of the fleet"))
        .arg(number_arg("seed", "1", "Seed of the request arrivals"))
        .arg(number_arg("lag-ms", "500", "Lag of the load reports, ms"))
        .arg(
            Arg::new("fault")
                .long("fault")
                .action(ArgAction::Append)
                .help("Injects a fault: SECONDS:withdraw=N, :kill=N, :lag=MS, :table=down or :table=up; with --relay: SECONDS:pause=N/SECONDS or :leave=N/SECONDS or :limit=N@RATE/SECONDS for N engines, or :cut=N/SECONDS for N nodes that lose their links to all engines, or :reclaim=N/SECONDS for data centre N, from 0, that takes back its spot engines with this notice, or :silence=N/SECONDS for N nodes that lose all messages to and from schedulers, and as schedulers; may be repeated"),
        )
        .arg(flag_arg("compare", "Compares the baselines and 'ours', also with one feature disabled at a time"))
        .arg(flag_arg(
            "decisions",
            "Only measures the time of one decision at 100, 1,000 and 10,000 targets",
        ))
        .arg(
            Arg::new("split")
                .long("split")
                .help("Numbers of engines per role at the start: PREFILL,MIXED,DECODE; by default the first phase's best split"),
        )
        .arg(flag_arg(
            "find-splits",
            "Measures every split on each phase and uses the best ones instead of the profile's",
        ))
        .arg(flag_arg(
            "relay",
            "Simulates calls at the rates of a fault-free day with the decisions of `relay`, on engines modelled by their data sheet",
        ))
        .arg(
            Arg::new("sheet")
                .long("sheet")
                .requires("relay")
                .help("With --relay: reads the deployment from this TOML file instead of a profile"),
        )
        .arg(
            Arg::new("decode")
                .long("decode")
                .requires("relay")
                .help("With --relay: fixes the number of engines that decode"),
        )
        .arg(
            Arg::new("engines")
                .long("engines")
                .requires("relay")
                .help("With --relay: number of engines at the start, instead of the deployment's"),
        )
        .arg(
            Arg::new("size")
                .long("size")
                .requires("relay")
                .default_value("fixed")
                .value_parser(["fixed", "roles", "ordered"])
                .help("With --relay: 'fixed' keeps the number of engines and roles by constants, 'roles' lets roles follow demand, 'ordered' also the number of engines"),
        )
        .arg(
            flag_arg("ignore-notices", "With --relay: nodes ignore which engines leave or pause")
                .requires("relay"),
        )
        .arg(relay_arg("nodes", "With --relay: number of nodes"))
        .arg(relay_arg("engines", "With --relay: number of engines; the rates change in proportion"))
        .arg(relay_arg("digest-bytes", "With --relay: bytes of digests that a node may send per second"))
        .arg(relay_arg("step-factors", "With --relay: factors on the engines' time, assigned in rotation, such as 0.7,0.7,1.7"))
        .arg(flag_arg("random-speeds", "With --relay: draws a factor from 0.6 to 1.8 for each engine").requires("relay"))
        .arg(flag_arg("stalls", "With --relay: prefills that exceed their stall timeout are ended and sent elsewhere").requires("relay"))
        .arg(number_arg("momentary", "0", "With --relay: fraction of the engines that are slower by a factor of 2.5, drawn anew every 0.6 s"))
        .arg(
            Arg::new("pace")
                .long("pace")
                .default_value("none")
                .value_parser(["none", "true", "false"])
                .help("With --relay: what engines report about that; with 'false', a third of them always report 300"),
        )
        .arg(number_arg("saturating", "0", "With --relay: number of engines that slow down from 0.7 of their slots"))
        .arg(number_arg("recovering", "0", "With --relay: number of engines that are slower by a factor of 2.5 until --recover-s"))
        .arg(number_arg("recover-s", "12", "With --relay: seconds from the first call"))
        .arg(
            Arg::new("target-speeds")
                .long("target-speeds")
                .default_value("learned")
                .value_parser(["learned", "fixed", "true"])
                .help("With --relay: what nodes know of the engines' speeds"),
        )
        .arg(
            flag_arg("schedulers", "With --relay: schedulers place the calls, in fleets of more than 17 nodes")
                .requires("relay"),
        )
        .arg(number_arg("seeds", "1", "With --relay: number of runs, with consecutive seeds from --seed"))
        .arg(flag_arg("sockets", "Runs over loopback sockets instead of in virtual time: 'ours', or the variants chosen by --compare or --only"))
        .arg(number_arg("speed", "4", "With --sockets: factor by which the clock runs faster than real time"))
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("Duration of each phase in seconds, instead of the profile's"),
        )
        .arg(Arg::new("only").long("only").help("With --compare or --sockets: runs only 'ours' and the variants whose name contains this"))
        .arg(Arg::new("json").long("json").help("Writes the results to this file as JSON"))
        .arg(Arg::new("html").long("html").help("Writes the results to this file as an HTML page"))
        .after_help("Example:\n  redwingweir load --profile khabar-saar --compare --fault 90:withdraw=3")
}

/// Simulates forwarded calls with one run per seed, and prints the results and the mean fraction on
/// time.
fn simulate_relay(matches: &ArgMatches) -> Result<(), CliError> {
    let mut deployment = match matches.get_one::<String>("sheet") {
        Some(file) => read_sheet(file)?,
        None => match text(matches, "profile")? {
            "khabar-saar" => Deployment::khabar_saar(),
            _ => Deployment::nilebell(),
        },
    };
    let faults = matches.get_many::<String>("fault").unwrap_or_default();
    if matches.contains_id("engines") {
        deployment.engine.count = parse(matches, "engines", "a whole number")?;
    }
    let (mut engine_faults, mut cuts) = (Vec::new(), Vec::new());
    let (mut reclaims, mut silences) = (Vec::new(), Vec::new());
    for fault in faults {
        match parse_relay_fault(fault)? {
            RelayFault::Engine(fault) => engine_faults.push(fault),
            RelayFault::Cut(cut) => cuts.push(cut),
            RelayFault::Reclaim(reclaim) => reclaims.push(reclaim),
            RelayFault::Silence(silence) => silences.push(silence),
        }
    }
    let decode: Option<usize> = match matches.contains_id("decode") {
        true => Some(parse(matches, "decode", "a whole number")?),
        false => None,
    };
    let options = RelayOptions {
        decode,
        faults: engine_faults,
        cuts,
        ignores_notices: matches.get_flag("ignore-notices"),
        size: match text(matches, "size")? {
            "ordered" => SizeMode::Ordered,
            "roles" => SizeMode::Roles,
            _ => SizeMode::Fixed,
        },
        reclaims,
        has_stalls: matches.get_flag("stalls"),
        speeds: read_speeds(matches)?,
        schedulers: matches.get_flag("schedulers"),
        silences,
    };
    let deployment = resize(deployment, matches)?;
    let load: f64 = parse(matches, "load", "a number")?;
    let seed: u64 = parse(matches, "seed", "a whole number")?;
    let seeds: u64 = parse(matches, "seeds", "a whole number")?;
    let (mut on_time, mut stalled, mut price) = (0.0, 0.0, 0.0);
    for seed in seed..seed + seeds {
        let result = run_relay(&deployment, load, RELAY_SECONDS, seed, &options);
        println!(
            "{} at {load} times its rates, seed {seed}\n{result}",
            deployment.name
        );
        on_time += result.on_time_ratio();
        price += result.size.price;
        stalled += result.stalled_ratio();
    }
    let runs = seeds.max(1) as f64;
    println!("on time: {:.4}, price {:.1}", on_time / runs, price / runs);
    println!("stalled prefills: {:.4}", stalled / runs);
    Ok(())
}

/// Applies the options on the number of nodes and engines, with the rates in proportion to the
/// engines, and on the engines' speeds.
fn resize(mut deployment: Deployment, matches: &ArgMatches) -> Result<Deployment, CliError> {
    if matches.contains_id("nodes") {
        deployment.nodes = parse(matches, "nodes", "a whole number")?;
    }
    if matches.contains_id("engines") {
        let engines: usize = parse(matches, "engines", "a whole number")?;
        let factor = engines as f64 / deployment.engine.count.max(1) as f64;
        deployment.engine.count = engines;
        for kind in &mut deployment.kinds {
            kind.rate *= factor;
            for part in kind.shared_parts.iter_mut().filter(|p| p.distinct > 1) {
                part.distinct = ((part.distinct as f64 * factor) as u64).max(1);
            }
        }
    }
    if matches.contains_id("digest-bytes") {
        deployment.digest_bytes_per_s = parse(matches, "digest-bytes", "a whole number")?;
    }
    if let Some(text) = matches.get_one::<String>("step-factors") {
        let factors: Result<Vec<f64>, _> = text.split(',').map(str::parse).collect();
        let is_valid = |f: &Vec<f64>| f.iter().all(|f| f.is_finite() && *f > 0.0);
        deployment.engine.step_factors =
            factors
                .ok()
                .filter(is_valid)
                .ok_or_else(|| CliError::InvalidSetting {
                    name: "--step-factors".to_owned(),
                    value: text.clone(),
                    expected: "numbers above 0, separated by commas",
                })?;
    }
    deployment
        .check()
        .map_err(|e| CliError::Failed(e.to_string()))?;
    Ok(deployment)
}

/// Reads the options on the speed of engines.
fn read_speeds(matches: &ArgMatches) -> Result<EngineSpeeds, CliError> {
    Ok(EngineSpeeds {
        is_random: matches.get_flag("random-speeds"),
        momentary: parse(matches, "momentary", "a number from 0 to 1")?,
        pace: match text(matches, "pace")? {
            "true" => PaceReports::True,
            "false" => PaceReports::False,
            _ => PaceReports::None,
        },
        saturating: parse(matches, "saturating", "a whole number")?,
        recovering: parse(matches, "recovering", "a whole number")?,
        recover_s: parse(matches, "recover-s", "a number")?,
        knowledge: match text(matches, "target-speeds")? {
            "fixed" => SpeedKnowledge::Setting(TargetSpeeds::Fixed),
            "true" => SpeedKnowledge::True,
            _ => SpeedKnowledge::Setting(TargetSpeeds::Learned),
        },
    })
}

/// Reads a deployment from a TOML file.
fn read_sheet(file: &str) -> Result<Deployment, CliError> {
    let failed = |e: &dyn std::fmt::Display| CliError::Failed(format!("{file}: {e}"));
    let text = std::fs::read_to_string(file).map_err(|e| failed(&e))?;
    let deployment: Deployment = toml::from_str(&text).map_err(|e| failed(&e))?;
    deployment.check().map_err(|e| failed(&e))?;
    Ok(deployment)
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn relay_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).requires("relay").help(help)
}

fn flag_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    if matches.get_flag("decisions") {
        print!("{}", decision_cost_table());
        return Ok(());
    }
    if matches.get_flag("relay") {
        return simulate_relay(matches);
    }
    let experiment = build_experiment(matches)?;
    let mut variants = Variant::all(&experiment);
    if let Some(only) = matches.get_one::<String>("only") {
        variants.retain(|v| v.name == "ours" || v.name.contains(only.as_str()));
    }
    let comparison = if matches.get_flag("sockets") {
        let all = matches.get_flag("compare") || matches.contains_id("only");
        variants.truncate(if all { variants.len() } else { 1 });
        run_over_sockets(&experiment, &variants, parse(matches, "speed", "a number")?)?
    } else if matches.get_flag("compare") {
        compare(&experiment, &variants)
    } else {
        let mut run = run_virtual(&experiment);
        run.name = "ours".to_owned();
        println!("{}", run_table(&run));
        Comparison {
            profile: experiment.profile.name.to_owned(),
            load: experiment.load,
            seed: experiment.seed,
            runs: vec![run],
            best: 0,
        }
    };
    if matches.get_flag("compare") && !matches.get_flag("sockets") {
        println!("{}", run_table(&comparison.runs[0]));
        println!("{}", comparison.ratio_table());
    }
    if let Some(file) = matches.get_one::<String>("json") {
        let bytes =
            serde_json::to_vec_pretty(&comparison).map_err(|e| CliError::Failed(e.to_string()))?;
        write_file(file, &bytes)?;
    }
    if let Some(file) = matches.get_one::<String>("html") {
        write_file(file, html_report(&comparison).as_bytes())?;
    }
    Ok(())
}

fn run_over_sockets(
    experiment: &Experiment,
    variants: &[Variant],
    speed: f64,
) -> Result<Comparison, CliError> {
    let mut runs = Vec::new();
    for variant in variants {
        let variant_experiment = variant.apply_to(experiment);
        let run = smol::block_on(run_sockets(&variant_experiment, speed));
        let mut run = run.map_err(|e| CliError::Failed(e.to_string()))?;
        run.name = variant.name.clone();
        println!("{}\n{}", run.name, run_table(&run));
        runs.push(run);
    }
    Ok(Comparison {
        profile: experiment.profile.name.to_owned(),
        load: experiment.load,
        seed: experiment.seed,
        runs,
        best: 0,
    })
}

fn build_experiment(matches: &ArgMatches) -> Result<Experiment, CliError> {
    let name = text(matches, "profile")?;
    let mut profile =
        Profile::named(name).ok_or_else(|| CliError::MissingSetting("--profile".to_owned()))?;
    if matches.contains_id("seconds") {
        let seconds = parse(matches, "seconds", "a number")?;
        profile.phases.iter_mut().for_each(|p| p.seconds = seconds);
    }
    let load = parse(matches, "load", "a number")?;
    let seed = parse(matches, "seed", "a whole number")?;
    let faults: Result<Vec<ScheduledFault>, CliError> = matches
        .get_many::<String>("fault")
        .unwrap_or_default()
        .map(|text| parse_fault(text))
        .collect();
    let mut experiment = Experiment {
        lag_ms: parse(matches, "lag-ms", "a whole number")?,
        faults: faults?,
        ..Experiment::new(profile, load, seed)
    };
    if let Some(text) = matches.get_one::<String>("split") {
        experiment.split = parse_split(text, experiment.profile.engines)?;
    }
    Ok(if matches.get_flag("find-splits") {
        let experiment = experiment.find_best_splits();
        println!("best split of each phase: {:?}", experiment.best_splits);
        experiment
    } else {
        experiment
    })
}

fn parse_split(text: &str, engines: usize) -> Result<Split, CliError> {
    let invalid = || CliError::InvalidSetting {
        name: "--split".to_owned(),
        value: text.to_owned(),
        expected: "PREFILL,MIXED,DECODE with the profile's number of engines in total",
    };
    let parts: Result<Vec<u32>, _> = text.split(',').map(str::parse).collect();
    match parts.as_deref() {
        Ok(&[prefill, mixed, decode]) if (prefill + mixed + decode) as usize == engines => {
            Ok(Split {
                prefill,
                mixed,
                decode,
            })
        }
        _ => Err(invalid()),
    }
}

fn parse_fault(text: &str) -> Result<ScheduledFault, CliError> {
    let invalid = || CliError::InvalidSetting {
        name: "--fault".to_owned(),
        value: text.to_owned(),
        expected: "SECONDS:withdraw=N, kill=N, lag=MS, table=down or table=up",
    };
    let (at, rest) = text.split_once(':').ok_or_else(invalid)?;
    let (kind, value) = rest.split_once('=').ok_or_else(invalid)?;
    let fault = match (kind, value) {
        ("withdraw", n) => Fault::Withdraw(n.parse().map_err(|_| invalid())?),
        ("kill", n) => Fault::Kill(n.parse().map_err(|_| invalid())?),
        ("lag", ms) => Fault::ReportLag(ms.parse().map_err(|_| invalid())?),
        ("table", "down") => Fault::TableOutage(true),
        ("table", "up") => Fault::TableOutage(false),
        _ => return Err(invalid()),
    };
    Ok(ScheduledFault {
        at_s: at.parse().map_err(|_| invalid())?,
        fault,
    })
}

/// A fault of a relay simulation.
enum RelayFault {
    Engine(EngineFault),
    Cut(NodeCut),
    Reclaim(Reclaim),
    Silence(Silence),
}

fn parse_relay_fault(text: &str) -> Result<RelayFault, CliError> {
    let invalid = || CliError::InvalidSetting {
        name: "--fault".to_owned(),
        value: text.to_owned(),
        expected: "SECONDS:pause=N/SECONDS, SECONDS:leave=N/SECONDS, SECONDS:limit=N@RATE/SECONDS, SECONDS:cut=N/SECONDS SECONDS:reclaim=N/SECONDS or SECONDS:silence=N/SECONDS, with --relay",
    };
    let (at, rest) = text.split_once(':').ok_or_else(invalid)?;
    let (kind, rest) = rest.split_once('=').ok_or_else(invalid)?;
    let (engines, duration) = rest.split_once('/').ok_or_else(invalid)?;
    let (engines, rate) = match engines.split_once('@') {
        Some((engines, rate)) => (engines, Some(RequestRate::parse(rate).ok_or_else(invalid)?)),
        None => (engines, None),
    };
    let seconds = |text: &str| {
        let parsed = text
            .parse()
            .ok()
            .filter(|s: &f64| s.is_finite() && *s >= 0.0);
        parsed.ok_or_else(invalid)
    };
    let (at_s, for_s) = (seconds(at)?, seconds(duration)?);
    let count = engines.parse().map_err(|_| invalid())?;
    let kind = match (kind, rate) {
        ("cut", None) => {
            return Ok(RelayFault::Cut(NodeCut {
                nodes: count,
                at_s,
                for_s,
            }));
        }
        ("reclaim", None) => {
            return Ok(RelayFault::Reclaim(Reclaim {
                centre: count,
                at_s,
                notice_s: for_s,
            }));
        }
        ("silence", None) => {
            return Ok(RelayFault::Silence(Silence {
                nodes: count,
                at_s,
                for_s,
            }));
        }
        ("pause", None) => EngineFaultKind::Pause,
        ("leave", None) => EngineFaultKind::Leave,
        ("limit", Some(rate)) => EngineFaultKind::Limit(rate),
        _ => return Err(invalid()),
    };
    Ok(RelayFault::Engine(EngineFault {
        kind,
        engines: count,
        at_s,
        for_s,
    }))
}

fn write_file(file: &str, bytes: &[u8]) -> Result<(), CliError> {
    std::fs::write(Path::new(file), bytes).map_err(|e| CliError::Failed(format!("{file}: {e}")))
}
