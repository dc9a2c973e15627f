//! Stand-ins of the platform, runners and clients, and the cases of this review.
//!
//! `standin CASE DIR` plays a case and writes `DIR/record.txt`. It exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case couldn't run.

mod body_burst;
mod cut_at_stop;
mod drill;
mod early_answer;
mod endless_body;
mod fleet;
mod http;
mod json;
mod link;
mod missed_config;
mod node;
mod record;
mod resumed_stream;
mod runner;
mod spliced_answer;
mod store;

use std::{
    env, fs,
    path::{Path, PathBuf},
    process, thread,
    time::Duration,
};

/// Time after which a run gives up.
const LIMIT: Duration = Duration::from_secs(110);

/// One run of a case.
pub struct Run {
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// Temporary folder of this run.
    pub temp: PathBuf,
}

impl Run {
    /// Ends a run that can't show anything.
    pub fn cannot(&self, why: &str) -> ! {
        record!("the case couldn't run: {why}");
        eprintln!("the case couldn't run: {why}");
        end(2)
    }
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, dir] = args.as_slice() else {
        eprintln!("usage: standin CASE DIR");
        process::exit(2);
    };
    if !node::program().exists() {
        eprintln!(
            "{} is missing: run the build of the deploy file first",
            node::program().display()
        );
        process::exit(2);
    }
    let temp = env::temp_dir().join(format!("review-{case}-{}", process::id()));
    if record::open(Path::new(dir)).is_err() || fs::create_dir_all(&temp).is_err() {
        eprintln!("the record or the temporary folder can't be written");
        process::exit(2);
    }
    let run = Run {
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
        temp: temp.clone(),
    };
    record!("case {case}, disruption: {}", run.trouble);
    thread::spawn(|| {
        thread::sleep(LIMIT);
        record!("the case couldn't run: it took too long");
        end(2);
    });
    let broken = match case.as_str() {
        "body-burst" => body_burst::run(&run),
        "cut-at-stop" => cut_at_stop::run(&run),
        "drill" => drill::run(&run),
        "early-answer" => early_answer::run(&run),
        "endless-body" => endless_body::run(&run),
        "missed-config" => missed_config::run(&run),
        "resumed-stream" => resumed_stream::run(&run),
        "spliced-answer" => spliced_answer::run(&run),
        _ => run.cannot("no such case"),
    };
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&temp);
    }
    println!(
        "{}",
        if broken {
            "the rule was broken"
        } else {
            "the rule held"
        }
    );
    end(i32::from(broken))
}

/// Ends this run and all processes that it has started.
fn end(code: i32) -> ! {
    node::end_all();
    process::exit(code)
}
