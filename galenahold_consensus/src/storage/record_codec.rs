//! Binary format of the records in all files of a data folder.

use crate::storage;

/// Encodes and decodes records: a fixed header with version, lengths and checksum, then the payload.
///
/// | bytes | content |
/// |---|---|
/// | 4 | magic |
/// | 4 | version |
/// | 4 | payload length |
/// | 4 | CRC-32 of version, lengths and payload |
/// | 8 | number of bytes of the file that were durable before the record was written |
#[derive(Debug, Clone, Copy)]
pub(super) struct RecordCodec;

impl RecordCodec {
    const MAGIC: [u8; 4] = *b"GHR\x01";
    const VERSION: u32 = 1;
    const HEADER_BYTES: usize = 24;

    pub(super) fn encode(payload: &[u8], durable_length: u64, target: &mut Vec<u8>) {
        let length = u32::try_from(payload.len()).expect("records are shorter than 4 GiB");
        let version = Self::VERSION.to_le_bytes();
        let length = length.to_le_bytes();
        let durable = durable_length.to_le_bytes();
        let checksum = checksum(&[&version, &length, &durable, payload]);
        target.extend_from_slice(&Self::MAGIC);
        target.extend_from_slice(&version);
        target.extend_from_slice(&length);
        target.extend_from_slice(&checksum.to_le_bytes());
        target.extend_from_slice(&durable);
        target.extend_from_slice(payload);
    }

    pub(super) fn decode(
        bytes: &[u8],
        start: usize,
    ) -> Result<storage::FramedRecord<'_>, storage::RecordError> {
        let corrupt = storage::RecordError::Corrupt;
        let header = bytes
            .get(start..start + Self::HEADER_BYTES)
            .ok_or(corrupt)?;
        if header[..4] != Self::MAGIC {
            return Err(corrupt);
        }
        let payload_start = start + Self::HEADER_BYTES;
        let length = usize::try_from(read_u32(&header[8..12])).map_err(|_| corrupt)?;
        let end = payload_start.checked_add(length).ok_or(corrupt)?;
        let payload = bytes.get(payload_start..end).ok_or(corrupt)?;
        let expected = checksum(&[&header[4..8], &header[8..12], &header[16..24], payload]);
        if read_u32(&header[12..16]) != expected {
            return Err(corrupt);
        }
        if read_u32(&header[4..8]) > Self::VERSION {
            return Err(storage::RecordError::Newer);
        }
        let mut durable = [0; 8];
        durable.copy_from_slice(&header[16..24]);
        Ok(storage::FramedRecord {
            payload,
            durable_length: u64::from_le_bytes(durable),
            end,
        })
    }

    /// Returns whether a valid later record proves that the byte at the offset was durable.
    ///
    /// If so, an invalid record at the offset is corruption rather than a torn write.
    pub(super) fn proves_durable(bytes: &[u8], offset: usize) -> bool {
        let candidates = bytes.len().saturating_sub(Self::HEADER_BYTES);
        (offset + 1..=candidates.max(offset)).any(|start| {
            Self::decode(bytes, start).is_ok_and(|record| record.durable_length > offset as u64)
        })
    }
}

fn checksum(parts: &[&[u8]]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize()
}

fn read_u32(bytes: &[u8]) -> u32 {
    let mut number = [0; 4];
    number.copy_from_slice(bytes);
    u32::from_le_bytes(number)
}
