//! Texts made small: by themselves, or against one that the reader holds already, so that a change costs what it changes.
//! Must never give back anything but the text that was packed, whole, and never more than its reader allows.

use std::io;
use zstd::bulk::{Compressor, Decompressor};

/// A quick level: a text is packed once and read by many, but the machine has little to spare.
const LEVEL: i32 = 3;
/// The largest text that is unpacked.
const MOST: u32 = 64 << 20;
const LENGTH: usize = 4;

/// The text's length, and the text packed against `base`; an empty base is none.
pub fn compress(text: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let length = u32::try_from(text.len()).ok().filter(|length| *length <= MOST);
    let length = length.ok_or_else(|| io::Error::other("a text too long"))?;
    let mut packed = length.to_le_bytes().to_vec();
    packed.extend(Compressor::with_dictionary(LEVEL, base)?.compress(text)?);
    Ok(packed)
}

pub fn decompress(packed: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let damaged = || io::Error::new(io::ErrorKind::InvalidData, "a packed text that is damaged");
    let (length, rest) = packed.split_first_chunk::<LENGTH>().ok_or_else(damaged)?;
    let length = u32::from_le_bytes(*length);
    if length > MOST {
        return Err(damaged());
    }
    let text = Decompressor::with_dictionary(base)?.decompress(rest, length as usize)?;
    if text.len() == length as usize { Ok(text) } else { Err(damaged()) }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A change of one line in a long text costs little, and comes back whole; against another base it does not come back
    /// as the text.
    #[test]
    fn a_change_costs_what_it_changes() {
        let line = |n: u32| format!("route {} {:08x}\n", n, n.wrapping_mul(0x9e37_79b9));
        let before: String = (0..4000).map(line).collect();
        let after = before.replacen("route 2000 ", "route two ", 1);
        let patch = compress(after.as_bytes(), before.as_bytes()).unwrap();
        assert!(patch.len() < 300, "{}", patch.len());
        assert_eq!(decompress(&patch, before.as_bytes()).unwrap(), after.as_bytes());
        assert_ne!(decompress(&patch, &before.as_bytes()[..5000]).ok(), Some(after.clone().into_bytes()));
        assert_eq!(decompress(&compress(after.as_bytes(), b"").unwrap(), b"").unwrap(), after.as_bytes());
    }

    #[test]
    fn any_bytes_are_a_text_or_an_error() {
        bolero::check!().with_iterations(2_000).for_each(|bytes: &[u8]| {
            decompress(bytes, b"base").ok();
        });
    }
}
