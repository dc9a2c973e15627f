//! Runs the commands of docs/OPERATING.md in order and compares their output with the page.

use rw_http::Method;
use rw_test::{Process, SECRET_HEX, TOKEN, TextRequest, get, run, send_request};
use rw_types::Vm;
use std::{fs, path::PathBuf, thread, time::Duration};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const PAGE: &str = include_str!("../docs/OPERATING.md");
/// Attempts to run a command until its output matches the page.
const ATTEMPTS: u32 = 400;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Processes, files and values that the commands of the page have created so far.
struct Fleet {
    platform: Process,
    targets: Vec<Process>,
    nodes: Vec<(String, Process)>,
    /// Addresses on the page, each with the address that replaces it.
    addrs: Vec<(String, String)>,
    /// Value of the placeholder `PLAN`; those of `KEY` and `HASH` follow.
    plan: String,
    key: String,
    hash: String,
    dir: PathBuf,
}

impl Fleet {
    fn start() -> Self {
        let fake = |what: &str, flags: &[&str]| {
            let args = ["fake", what].into_iter().chain(flags.iter().copied());
            let args: Vec<_> = args.map(str::to_owned).collect();
            Process::start(BINARY, &args, &[]).expect("the stand-in starts")
        };
        let platform = fake("platform", &[]);
        let engine = ["--model", "small", "--change-ms", "100"];
        let targets = vec![
            fake("engine", &engine),
            fake("engine", &engine),
            fake("service", &[]),
        ];
        let shown = ["10.0.1.1:9000", "10.0.1.2:9000", "10.0.1.9:9000"];
        let pairs = shown.iter().zip(&targets);
        let mut addrs: Vec<_> = pairs
            .map(|(page, p)| ((*page).to_owned(), p.addr("")))
            .collect();
        addrs.push(("10.0.0.1:7000".to_owned(), platform.addr("")));
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("operating");
        fs::create_dir_all(&dir).expect("a directory");
        Self {
            platform,
            targets,
            nodes: Vec::new(),
            addrs,
            plan: String::new(),
            key: String::new(),
            hash: String::new(),
            dir,
        }
    }

    /// A line of the page with its placeholders and addresses replaced.
    fn substitute(&self, line: &str) -> String {
        let words = [
            ("PLAN", &self.plan),
            ("KEY", &self.key),
            ("HASH", &self.hash),
        ];
        let mut line = line.to_owned();
        for (word, value) in words {
            if !value.is_empty() {
                line = line.replace(word, value);
            }
        }
        for (page, real) in &self.addrs {
            line = line.replace(page, real);
        }
        line
    }

    fn file(&self) -> PathBuf {
        self.dir.join("fleet.toml")
    }

    fn block(&self, text: &str) {
        let (head, body) = text.split_once('\n').expect("a first line");
        let body = self.substitute(body);
        let content = match head {
            "# fleet.toml" => format!("{head}\n{body}"),
            "# added to fleet.toml" => {
                let before = fs::read_to_string(self.file()).expect("the file");
                format!("{before}\n{body}")
            }
            _ => panic!("a block that no test writes: {head}"),
        };
        fs::write(self.file(), content).expect("the file is written");
    }

    fn directive(&mut self, text: &str) {
        let (what, rest) = text.split_once(' ').unwrap_or((text, ""));
        match what {
            "replace" => {
                let (from, to) = rest.split_once(" => ").expect("from => to");
                self.edit(from, to);
            }
            "leaving" => {
                let name = format!("name = \"{rest}\"");
                self.edit(&name, &format!("{name}\nleaving = true"));
            }
            "stop" | "kill" => {
                let i = self.nodes.iter().position(|(n, _)| n == rest);
                let i = i.expect("a node of that name");
                if what == "stop" {
                    let (_, mut node) = self.nodes.remove(i);
                    node.signal("TERM");
                    assert_eq!(node.wait(Duration::from_secs(30)), Some(0));
                } else {
                    self.nodes[i].1.kill();
                }
            }
            "outage" => self.fault(r#"[{"fault":"outage","path":"/table"}]"#),
            "table" => self.fault("[]"),
            _ => panic!("unknown directive {text}"),
        }
    }

    fn edit(&self, from: &str, to: &str) {
        let text = fs::read_to_string(self.file()).expect("the file");
        assert!(text.contains(from), "{from} is not in the file");
        fs::write(self.file(), text.replacen(from, to, 1)).expect("the file is written");
    }

    fn fault(&self, body: &str) {
        self.put(Method::Post, "/fault", body);
    }

    fn put(&self, method: Method, path: &str, body: &str) {
        let call = TextRequest {
            method,
            path,
            body,
            headers: &[],
        };
        let response = smol::block_on(send_request(&self.platform.addr(""), call));
        assert_eq!(response.expect("a response").status, 200);
    }

    fn serve(&mut self, line: &str) {
        let words: Vec<_> = line.split(' ').collect();
        let value = |flag: &str| {
            let at = words.iter().position(|w| *w == flag).expect(flag);
            words[at + 1]
        };
        let listeners = [
            ("--listen", "callers"),
            ("--peer-listen", "peers"),
            ("--operator-listen", "operators"),
        ];
        let mut args: Vec<_> = words[1..words.len() - 1]
            .iter()
            .map(|w| self.substitute(w))
            .collect();
        for (flag, _) in listeners {
            let at = words.iter().position(|w| *w == flag).expect(flag);
            args[at] = "127.0.0.1:0".to_owned();
        }
        let env = [
            ("REDWINGWEIR_TOKEN", TOKEN),
            ("REDWINGWEIR_SECRET", SECRET_HEX),
            ("REDWINGWEIR_POLL_MS", "200"),
            ("REDWINGWEIR_LOG", "error"),
        ];
        let node = Process::start(BINARY, &args, &env).expect("the node starts");
        for (flag, name) in listeners {
            self.addrs.push((value(flag).to_owned(), node.addr(name)));
        }
        self.nodes.push((value("--vm").to_owned(), node));
        let vms = self.nodes.iter().map(|(name, node)| Vm {
            name: name.clone(),
            centre: "cairo-a".to_owned(),
            peer: node.addr("peers"),
            leaving: false,
        });
        let vms: Vec<_> = vms.collect();
        let body = serde_json::to_string(&vms).expect("JSON");
        self.put(Method::Put, "/vms", &body);
    }

    fn curl(&self, line: &str) -> String {
        let (line, word) = line.split_once(" | grep ").unwrap_or((line, ""));
        let url = line.split(' ').find_map(|w| w.strip_prefix("http://"));
        let (addr, path) = url.expect("a URL").split_once('/').expect("a path");
        let path = format!("/{path}");
        let body = line.split_once(" -d ").map(|(_, body)| body);
        let response = match body {
            None => smol::block_on(get(addr, &path)),
            Some(body) => {
                let quoted: Vec<_> = line.split('"').collect();
                let heads = quoted.iter().filter_map(|h| h.split_once(": "));
                let headers: Vec<_> = heads.filter(|(n, _)| !n.contains('{')).collect();
                let call = TextRequest {
                    method: Method::Post,
                    path: &path,
                    body,
                    headers: &headers,
                };
                smol::block_on(send_request(addr, call))
            }
        };
        let text = response.expect("a response").body;
        let lines = text.lines().filter(|l| l.contains(word));
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Runs a command until its output matches the page.
    fn command(&mut self, line: &str, wanted: &[&str]) {
        if line.ends_with(" &") {
            return self.serve(line);
        }
        let mut printed = String::new();
        for _ in 0..ATTEMPTS {
            printed = self.print(line);
            self.capture(line, &printed);
            let wanted: Vec<_> = wanted.iter().map(|w| self.substitute(w)).collect();
            if matches(&wanted, &printed.lines().collect::<Vec<_>>()) {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!(
            "$ {line}\nwanted:\n{}\nprinted:\n{printed}",
            wanted.join("\n")
        );
    }

    fn print(&self, line: &str) -> String {
        let line = self.substitute(line);
        if line.starts_with("curl ") {
            return self.curl(&line);
        }
        let file = self.file().to_string_lossy().into_owned();
        let args: Vec<_> = line
            .split(' ')
            .skip(1)
            .map(|w| if w == "fleet.toml" { file.as_str() } else { w })
            .collect();
        let operator = self.nodes.first().map(|(_, n)| n.addr("operators"));
        let operator = operator.unwrap_or_default();
        let mut env = vec![
            ("REDWINGWEIR_TOKEN", TOKEN),
            ("REDWINGWEIR_SECRET", SECRET_HEX),
        ];
        if !operator.is_empty() {
            env.push(("REDWINGWEIR_OPERATOR", operator.as_str()));
        }
        let ran = run(BINARY, &args, &env).expect("the command runs");
        format!("{}{}", ran.stdout, ran.stderr).replace(&file, "fleet.toml")
    }

    /// Stores the values in the output of a command that later commands need.
    fn capture(&mut self, line: &str, printed: &str) {
        let words: Vec<_> = printed.split_whitespace().collect();
        if line.contains(" key mint ") {
            let key = words.iter().find(|w| w.starts_with("rw-"));
            self.key = (*key.expect("a key")).to_owned();
            self.hash = words[words.len() - 1].trim_matches('"').to_owned();
        }
        if line.contains(" plan ") && words.first() == Some(&"plan") {
            self.plan = words[1].to_owned();
        }
    }
}

/// Whether printed lines match those of the page, where `…` alone in a line stands for any lines and
/// within a line for any text.
fn matches(wanted: &[String], printed: &[&str]) -> bool {
    match (wanted.split_first(), printed.split_first()) {
        (None, None) => true,
        (Some((first, rest)), _) if first == "…" => {
            matches(rest, printed) || (!printed.is_empty() && matches(wanted, &printed[1..]))
        }
        (Some((first, rest)), Some((line, tail))) => fits(first, line) && matches(rest, tail),
        _ => false,
    }
}

fn fits(wanted: &str, line: &str) -> bool {
    let parts: Vec<_> = wanted.split('…').collect();
    let Some((first, rest)) = parts.split_first() else {
        return false;
    };
    let Some(mut remaining) = line.strip_prefix(first) else {
        return false;
    };
    for (i, part) in rest.iter().enumerate() {
        let last = i + 1 == rest.len();
        let found = if last {
            remaining
                .ends_with(part)
                .then_some(remaining.len() - part.len())
        } else {
            remaining.find(part)
        };
        let Some(at) = found else {
            return false;
        };
        remaining = &remaining[at + part.len()..];
    }
    remaining.is_empty()
}

#[test]
fn every_command_of_the_page_prints_what_it_says() {
    let mut fleet = Fleet::start();
    let mut commands = 0;
    let mut lines = PAGE.lines();
    while let Some(line) = lines.next() {
        let directive = line.strip_prefix("<!-- test: ");
        if let Some(text) = directive.and_then(|d| d.strip_suffix(" -->")) {
            fleet.directive(text);
        }
        let Some(kind) = line.strip_prefix("```").filter(|k| !k.is_empty()) else {
            continue;
        };
        let block: Vec<_> = lines.by_ref().take_while(|l| *l != "```").collect();
        if kind == "toml" {
            fleet.block(&block.join("\n"));
            continue;
        }
        assert_eq!(kind, "console", "a block that no test runs");
        let starts = block
            .iter()
            .enumerate()
            .filter(|(_, l)| l.starts_with("$ "));
        let starts: Vec<_> = starts.map(|(i, _)| i).collect();
        for (n, start) in starts.iter().enumerate() {
            let end = starts.get(n + 1).copied().unwrap_or(block.len());
            fleet.command(&block[*start][2..], &block[start + 1..end]);
            commands += 1;
        }
    }
    assert_eq!(
        commands,
        PAGE.matches("\n$ ").count(),
        "every command was run"
    );
    assert_eq!(fleet.targets.len(), 3);
}
