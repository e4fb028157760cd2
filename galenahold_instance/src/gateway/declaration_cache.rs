//! The declaration in force, read.

use std::sync;

use galenahold_domain::control;
use galenahold_domain::declaration;
use log::{error, info};
use tokio::sync::watch;

use crate::gateway;

/// The declaration in force at this instance, read once from the operator's document.
#[derive(Debug, Clone)]
pub(crate) struct DeclarationCache<Dialect> {
    dialect: Dialect,
    index: sync::Arc<arc_swap::ArcSwapOption<declaration::DeclarationIndex>>,
    changes: sync::Arc<watch::Sender<()>>,
}

impl<Dialect: gateway::FleetDialect> DeclarationCache<Dialect> {
    /// Creates a holder without a declaration.
    pub(crate) fn new(dialect: Dialect) -> Self {
        Self {
            dialect,
            index: sync::Arc::default(),
            changes: sync::Arc::default(),
        }
    }

    /// Returns the declaration in force, if there is one.
    pub(crate) fn index(&self) -> Option<sync::Arc<declaration::DeclarationIndex>> {
        self.index.load_full()
    }

    /// Returns a receiver that is told of each later declaration.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Takes the document of a view; returns the declaration if it is a new one.
    pub(crate) fn refresh(
        &self,
        view: &control::ConfigurationView,
    ) -> Option<sync::Arc<declaration::DeclarationIndex>> {
        let document = view.declared.as_ref()?;
        let current_number = self.index().map(|index| index.declaration().number);
        if current_number == Some(document.number) {
            return None;
        }
        let content = match document.unpack() {
            Ok(content) => content,
            Err(reason) => {
                error!(number = document.number, reason:% = reason; "declaration cannot be unpacked");
                return None;
            }
        };
        match self.dialect.read_document(&content) {
            Ok(declaration) => {
                let limits: Vec<_> = declaration
                    .teams
                    .iter()
                    .map(|team| format!("{}:{}+{}", team.name, team.rate_per_s, team.burst))
                    .collect();
                info!(
                    limits = limits.join(",").as_str(),
                    number = document.number,
                    routes = declaration.routes.len(),
                    services = declaration.services.len(),
                    teams = declaration.teams.len();
                    "declaration in force"
                );
                let index = sync::Arc::new(declaration::DeclarationIndex::new(declaration));
                self.index.store(Some(sync::Arc::clone(&index)));
                self.changes.send_replace(());
                Some(index)
            }
            Err(reason) => {
                // It was read by the leader that took it, so this program is older than the leader's.
                error!(number = document.number, reason:% = reason; "declaration cannot be read");
                None
            }
        }
    }
}
