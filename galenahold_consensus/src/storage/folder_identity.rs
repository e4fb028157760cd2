//! The identity file of a data folder, which is replaced atomically.

use std::path;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::member;
use crate::storage;
use crate::storage::StorageFile;
use crate::storage::storage_error;

/// The member that owns a data folder, the group it belongs to and its lifecycle flags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderIdentity {
    /// Member identity, generated when the folder was created.
    pub member: member::MemberId,
    /// Name of the member that created the folder.
    pub name: member::MemberName,
    /// Number of times that the folder has been opened.
    pub boot: u64,
    /// Group that the member has joined; never changes once set.
    pub cluster: Option<member::ClusterId>,
    /// Initial membership of that group.
    pub genesis: member::MembershipList,
    /// The folder was detected to be an older copy and must not be opened again.
    pub retired: bool,
    /// The first segment of the write-ahead log is durable.
    pub prepared: bool,
}

impl FolderIdentity {
    const FILE_NAME: &'static str = "identity";
    const DRAFT_NAME: &'static str = "identity.draft";

    fn new(member: member::MemberId, name: member::MemberName) -> Self {
        Self {
            member,
            name,
            boot: 0,
            cluster: None,
            genesis: member::MembershipList::default(),
            retired: false,
            prepared: false,
        }
    }

    /// Reads the identity of a folder, or creates one with `new_id` if there is none.
    pub(super) fn open<B: storage::StorageBackend>(
        backend: &B,
        folder: &path::Path,
        name: &member::MemberName,
        new_id: member::MemberId,
    ) -> Result<Self, storage::StorageError> {
        let Some(identity) = Self::load(backend, folder)? else {
            let identity = Self::new(new_id, name.clone());
            identity.save(backend, folder)?;
            return Ok(identity);
        };
        if identity.name != *name {
            return storage_error::ForeignSnafu {
                path: folder,
                expected: name.clone(),
                found: identity.name,
            }
            .fail();
        }
        if identity.retired {
            return storage_error::RetiredSnafu { path: folder }.fail();
        }
        Ok(identity)
    }

    /// Reads the identity of a folder that this process has closed.
    ///
    /// A folder without its identity, or with an older one, was emptied or replaced meanwhile: the
    /// member must not go on under the identity that it had.
    pub(super) fn reopen<B: storage::StorageBackend>(
        backend: &B,
        folder: &path::Path,
        earlier: &Self,
    ) -> Result<Self, storage::StorageError> {
        let identity = Self::load(backend, folder)?;
        let known = |found: &Self| found.member == earlier.member && found.boot >= earlier.boot;
        let Some(identity) = identity.filter(known) else {
            return storage_error::CorruptSnafu {
                path: folder.join(Self::FILE_NAME),
                offset: 0_u64,
                reason: "the identity is missing or replaced since the folder was closed",
            }
            .fail();
        };
        if identity.retired {
            return storage_error::RetiredSnafu { path: folder }.fail();
        }
        Ok(identity)
    }

    fn load<B: storage::StorageBackend>(
        backend: &B,
        folder: &path::Path,
    ) -> Result<Option<Self>, storage::StorageError> {
        let path = folder.join(Self::FILE_NAME);
        let names = backend.list(folder).context(storage_error::IoSnafu {
            action: "listing",
            path: folder,
        })?;
        if !names.iter().any(|name| name == Self::FILE_NAME) {
            return Ok(None);
        }
        let bytes = backend.read(&path).context(storage_error::IoSnafu {
            action: "reading",
            path: &path,
        })?;
        Self::decode(&path, &bytes).map(Some)
    }

    fn decode(path: &path::Path, bytes: &[u8]) -> Result<Self, storage::StorageError> {
        const OFFSET: u64 = 0;
        let newer = storage_error::NewerSnafu {
            path,
            offset: OFFSET,
        };
        match storage::RecordCodec::decode(bytes, 0) {
            Ok(framed) => rmp_serde::from_slice(framed.payload).or_else(|_| newer.fail()),
            Err(storage::RecordError::Newer) => newer.fail(),
            Err(storage::RecordError::Corrupt) => storage_error::CorruptSnafu {
                path,
                offset: OFFSET,
                reason: "the identity record is corrupt",
            }
            .fail(),
        }
    }

    pub(super) fn save<B: storage::StorageBackend>(
        &self,
        backend: &B,
        folder: &path::Path,
    ) -> Result<(), storage::StorageError> {
        let payload = rmp_serde::to_vec_named(self).expect("an identity is serializable");
        let mut bytes = Vec::new();
        storage::RecordCodec::encode(&payload, 0, &mut bytes);
        replace_file(backend, folder, Self::DRAFT_NAME, Self::FILE_NAME, &bytes)
    }
}

/// Replaces a file atomically: after a crash it has either the old or the new content.
///
/// A draft that could not be completed is removed, since it takes space on a full disk.
pub(super) fn replace_file<B: storage::StorageBackend>(
    backend: &B,
    folder: &path::Path,
    draft_name: &str,
    name: &str,
    bytes: &[u8],
) -> Result<(), storage::StorageError> {
    let draft = folder.join(draft_name);
    let path = folder.join(name);
    let attempt = || {
        let mut file = backend.create(&draft)?;
        file.append(bytes)?;
        file.sync()?;
        backend.rename(&draft, &path)?;
        backend.sync_folder(folder)
    };
    let outcome = attempt();
    if outcome.is_err() {
        // The draft is missing if only the sync of the folder failed.
        let _ = backend.remove(&draft);
    }
    outcome.context(storage_error::IoSnafu {
        action: "replacing",
        path: folder.join(name),
    })
}
