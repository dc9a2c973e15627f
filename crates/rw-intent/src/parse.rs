//! Parses an intent file into a configuration.

use crate::{
    IntentError, IntentErrorKind,
    check::check_values,
    fields::{Fields, Lines},
    places::{Place, Places},
};
use rw_types::{
    Account, Config, Model, Role, Service, ServiceKind, Target, TargetKind, Version, WorkKind,
    check_config,
};
use toml::de::DeTable;

/// Parses an intent file. The configuration has version zero and sorted lists.
///
/// # Errors
///
/// All errors in the file, in line order. A file with an error gives no configuration.
pub fn parse_intent(text: &str) -> Result<Config, Vec<IntentError>> {
    let lines = Lines::new(text);
    let (table, syntax_errors) = DeTable::parse_recoverable(text);
    let mut errors: Vec<_> = syntax_errors
        .iter()
        .map(|error| IntentError {
            file_line: error.span().map_or(1, |span| lines.of(&span)),
            kind: IntentErrorKind::Syntax(error.message().to_owned()),
        })
        .collect();
    let mut parser = Parser {
        lines: &lines,
        errors: &mut errors,
        places: Places::default(),
    };
    let config = parser.file(table.get_ref());
    let places = parser.places;
    // A partly read file would only give follow-up errors.
    if errors.is_empty() {
        errors.extend(check_config(&config).into_iter().map(|error| {
            let (list, name) = error.item();
            IntentError {
                file_line: places.line_of(list, name),
                kind: IntentErrorKind::Config(error),
            }
        }));
        check_values(&config, &places, &mut errors);
    }
    if errors.is_empty() {
        return Ok(config);
    }
    errors.sort_by_key(|m| m.file_line);
    errors.dedup();
    Err(errors)
}

struct Parser<'a> {
    lines: &'a Lines,
    errors: &'a mut Vec<IntentError>,
    places: Places,
}

impl Parser<'_> {
    fn file(&mut self, table: &DeTable<'_>) -> Config {
        let mut top = Fields::new(table, "file", 1, self.lines, self.errors);
        let change_weight = top.number("change_weight", Some(1.0));
        let models = top.tables("models");
        let services = top.tables("services");
        let targets = top.tables("targets");
        let accounts = top.tables("accounts");
        let kinds = top.tables("kinds");
        top.finish();
        let services: Vec<_> = self.items("service", services, service);
        let models_of = |name: &str| {
            let declared = services.iter().find(|(s, _)| s.name == name);
            declared
                .map(|(_, models)| models.clone())
                .unwrap_or_default()
        };
        let targets = self.items("target", targets, |fields| target(fields, models_of));
        let mut config = Config {
            version: Version(0),
            models: self.items("model", models, model),
            targets,
            accounts: self.items("account", accounts, account),
            kinds: self.items("kind", kinds, kind),
            services: services.into_iter().map(|(service, _)| service).collect(),
            change_weight,
        };
        config.sort();
        config
    }

    fn items<T>(
        &mut self,
        list: &'static str,
        tables: Vec<(usize, &DeTable<'_>)>,
        read: impl Fn(&mut Fields<'_, '_, '_>) -> T,
    ) -> Vec<T> {
        let mut items = Vec::with_capacity(tables.len());
        for (line, table) in tables {
            let mut fields = Fields::new(table, list, line, self.lines, self.errors);
            items.push(read(&mut fields));
            let name = fields.string("name");
            fields.finish();
            self.places.push(Place { list, name, line });
        }
        items
    }
}

fn model(fields: &mut Fields<'_, '_, '_>) -> Model {
    Model {
        name: fields.string_or_empty("name"),
        version: fields.string("version"),
        adapters: sorted(fields.strings("adapters")),
        bytes: fields.integer("bytes", Some(0)),
        replicas: fields.integer("replicas", Some(0)) as u32,
    }
}

/// A service, with the models of those of its engines that declare none themselves.
fn service(fields: &mut Fields<'_, '_, '_>) -> (Service, Vec<String>) {
    let choices = [
        ("engine", ServiceKind::Engine),
        ("plain", ServiceKind::Plain),
    ];
    let kind = fields.choice("kind", "\"engine\" or \"plain\"", &choices, None);
    let service = Service {
        name: fields.string_or_empty("name"),
        kind: kind.unwrap_or(ServiceKind::Plain),
        idempotent: fields.strings("idempotent").unwrap_or_default(),
    };
    (service, sorted(fields.strings("models")))
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
    let service = fields.string("service");
    let own = fields.strings("models");
    let models = match (own, kind) {
        (Some(own), _) => sorted(Some(own)),
        (None, TargetKind::Engine) => models_of(&service),
        (None, TargetKind::Plain) => Vec::new(),
    };
    let expected = "\"mixed\", \"prefill\" or \"decode\"";
    let role = fields.choice("role", expected, &roles, Some(Role::Mixed));
    Target {
        name: fields.string_or_empty("name"),
        addr: fields.string("addr"),
        centre: fields.string("centre"),
        kind,
        service,
        group: fields.string_or_empty("group"),
        models,
        role: role.unwrap_or_default(),
        checks_fence: fields.flag("checks_fence"),
        leaving: fields.flag("leaving"),
    }
}

fn account(fields: &mut Fields<'_, '_, '_>) -> Account {
    Account {
        name: fields.string_or_empty("name"),
        keys: fields.strings("keys").unwrap_or_default(),
        share: fields.integer("share", Some(1)) as u32,
    }
}

fn kind(fields: &mut Fields<'_, '_, '_>) -> WorkKind {
    WorkKind {
        name: fields.string_or_empty("name"),
        priority: fields.integer("priority", Some(0)).min(255) as u8,
        deadline_ms: fields.integer("deadline_ms", None),
        objective: fields.number("objective", None),
    }
}

fn sorted(list: Option<Vec<String>>) -> Vec<String> {
    let mut list = list.unwrap_or_default();
    list.sort();
    list.dedup();
    list
}
