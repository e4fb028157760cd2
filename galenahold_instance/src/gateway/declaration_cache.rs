//! Cache of the active declaration.

use std::sync;

use galenahold_domain::control;
use galenahold_domain::declaration;
use log::{error, info};
use tokio::sync::watch;

use crate::gateway;

/// The active declaration of this instance, parsed once from the operator's document.
#[derive(Debug, Clone)]
pub(crate) struct DeclarationCache<Dialect> {
    dialect: Dialect,
    index: sync::Arc<arc_swap::ArcSwapOption<declaration::DeclarationIndex>>,
    changes: sync::Arc<watch::Sender<()>>,
}

impl<Dialect: gateway::FleetDialect> DeclarationCache<Dialect> {
    /// Creates a cache without a declaration.
    pub(crate) fn new(dialect: Dialect) -> Self {
        Self {
            dialect,
            index: sync::Arc::default(),
            changes: sync::Arc::default(),
        }
    }

    /// Returns the active declaration, if there is one.
    pub(crate) fn index(&self) -> Option<sync::Arc<declaration::DeclarationIndex>> {
        self.index.load_full()
    }

    /// Returns a receiver that is notified of each later declaration.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Parses the document of a configuration view; returns the declaration if its number is new.
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
                error!(number = document.number, reason:% = reason; "cannot unpack the declaration");
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
                    "declaration is active"
                );
                let index = sync::Arc::new(declaration::DeclarationIndex::new(declaration));
                self.index.store(Some(sync::Arc::clone(&index)));
                self.changes.send_replace(());
                Some(index)
            }
            Err(reason) => {
                // The leader accepted this document, so this program is older than the leader's.
                error!(number = document.number, reason:% = reason; "cannot parse the declaration");
                None
            }
        }
    }
}
