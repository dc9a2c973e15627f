//! From the text of an intent file to a configuration.

use crate::{
    IntentError, IntentErrorKind,
    check::check_values,
    fields::{Fields, Lines},
};
use rw_types::{
    Account, Config, Model, Role, Service, ServiceKind, Target, TargetKind, Version, WorkKind,
    check_config,
};
use toml::de::DeTable;

/// Name of an item with its list and line, to place what is found later.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) list: &'static str,
    pub(crate) name: String,
    pub(crate) line: usize,
}

/// The configuration that `text` declares, with version zero and sorted lists.
///
/// # Errors
///
/// Every mistake of the file, in the order of its lines; nothing of a faulty file is taken.
pub fn parse_intent(text: &str) -> Result<Config, Vec<IntentError>> {
    let lines = Lines::new(text);
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut found: Vec<_> = errors
        .iter()
        .map(|error| IntentError {
            file_line: error.span().map_or(1, |span| lines.of(&span)),
            kind: IntentErrorKind::Syntax(error.message().to_owned()),
        })
        .collect();
    let mut parse = Parse {
        lines: &lines,
        found: &mut found,
        places: Vec::new(),
    };
    let config = parse.file(table.get_ref());
    let places = parse.places;
    // A half-read file would only bring mistakes that follow from the others.
    if found.is_empty() {
        found.extend(check_config(&config).into_iter().map(|error| {
            let (list, name) = error.item();
            IntentError {
                file_line: line_of(&places, list, name),
                kind: IntentErrorKind::Config(error),
            }
        }));
        check_values(&config, &places, &mut found);
    }
    if found.is_empty() {
        return Ok(config);
    }
    found.sort_by_key(|m| m.file_line);
    found.dedup();
    Err(found)
}

/// Line of the last item of that name, which is the superfluous one of two.
pub(crate) fn line_of(places: &[Place], list: &str, name: &str) -> usize {
    let mut same = places.iter().rev();
    same.find(|p| p.list == list && p.name == name)
        .map_or(1, |p| p.line)
}

struct Parse<'a> {
    lines: &'a Lines,
    found: &'a mut Vec<IntentError>,
    places: Vec<Place>,
}

impl Parse<'_> {
    fn file(&mut self, table: &DeTable<'_>) -> Config {
        let mut top = Fields::new(table, "file", 1, self.lines, self.found);
        let change_weight = top.number("change_weight", Some(1.0));
        let models = top.tables("models");
        let services = top.tables("services");
        let targets = top.tables("targets");
        let accounts = top.tables("accounts");
        let kinds = top.tables("kinds");
        top.finish();
        let services: Vec<_> = self.each("service", services, service);
        let models_of = |name: &str| {
            let own = services.iter().find(|(s, _)| s.name == name);
            own.map(|(_, models)| models.clone()).unwrap_or_default()
        };
        let targets = self.each("target", targets, |fields| target(fields, models_of));
        let mut config = Config {
            version: Version(0),
            models: self.each("model", models, model),
            targets,
            accounts: self.each("account", accounts, account),
            kinds: self.each("kind", kinds, kind),
            services: services.into_iter().map(|(service, _)| service).collect(),
            change_weight,
        };
        config.sort();
        config
    }

    fn each<T>(
        &mut self,
        list: &'static str,
        tables: Vec<(usize, &DeTable<'_>)>,
        read: impl Fn(&mut Fields<'_, '_, '_>) -> T,
    ) -> Vec<T> {
        let mut items = Vec::with_capacity(tables.len());
        for (line, table) in tables {
            let mut fields = Fields::new(table, list, line, self.lines, self.found);
            items.push(read(&mut fields));
            let name = fields.text("name");
            fields.finish();
            self.places.push(Place { list, name, line });
        }
        items
    }
}

fn model(fields: &mut Fields<'_, '_, '_>) -> Model {
    Model {
        name: fields.text_or_empty("name"),
        version: fields.text("version"),
        adapters: sorted(fields.texts("adapters")),
        bytes: fields.whole("bytes", Some(0)),
        replicas: fields.whole("replicas", Some(0)) as u32,
    }
}

/// A service with the models that its engines hold unless they say otherwise.
fn service(fields: &mut Fields<'_, '_, '_>) -> (Service, Vec<String>) {
    let words = [
        ("engine", ServiceKind::Engine),
        ("plain", ServiceKind::Plain),
    ];
    let kind = fields.choice("kind", "\"engine\" or \"plain\"", &words, None);
    let service = Service {
        name: fields.text_or_empty("name"),
        kind: kind.unwrap_or(ServiceKind::Plain),
        idempotent: fields.texts("idempotent").unwrap_or_default(),
    };
    (service, sorted(fields.texts("models")))
}

fn target(fields: &mut Fields<'_, '_, '_>, models_of: impl Fn(&str) -> Vec<String>) -> Target {
    let kinds = [("engine", TargetKind::Engine), ("plain", TargetKind::Plain)];
    let roles = [
        ("mixed", Role::Mixed),
        ("prefill", Role::Prefill),
        ("decode", Role::Decode),
    ];
    let kind = fields.choice("kind", "\"engine\" or \"plain\"", &kinds, None);
    let kind = kind.unwrap_or(TargetKind::Plain);
    let service = fields.text("service");
    let own = fields.texts("models");
    let models = match (own, kind) {
        (Some(own), _) => sorted(Some(own)),
        (None, TargetKind::Engine) => models_of(&service),
        (None, TargetKind::Plain) => Vec::new(),
    };
    let wanted = "\"mixed\", \"prefill\" or \"decode\"";
    let role = fields.choice("role", wanted, &roles, Some(Role::Mixed));
    Target {
        name: fields.text_or_empty("name"),
        addr: fields.text("addr"),
        centre: fields.text("centre"),
        kind,
        service,
        group: fields.text_or_empty("group"),
        models,
        role: role.unwrap_or_default(),
        checks_fence: fields.flag("checks_fence"),
        leaving: fields.flag("leaving"),
    }
}

fn account(fields: &mut Fields<'_, '_, '_>) -> Account {
    Account {
        name: fields.text_or_empty("name"),
        keys: fields.texts("keys").unwrap_or_default(),
        share: fields.whole("share", Some(1)) as u32,
    }
}

fn kind(fields: &mut Fields<'_, '_, '_>) -> WorkKind {
    WorkKind {
        name: fields.text_or_empty("name"),
        priority: fields.whole("priority", Some(0)).min(255) as u8,
        deadline_ms: fields.whole("deadline_ms", None),
        objective: fields.number("objective", None),
    }
}

fn sorted(list: Option<Vec<String>>) -> Vec<String> {
    let mut list = list.unwrap_or_default();
    list.sort();
    list.dedup();
    list
}
