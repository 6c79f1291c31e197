//! Compression of texts alone and against a base.

use archlink_messages::PatchError;
use archlink_messages::patch::{compress, decompress};

/// With a base other than that of the patch, the result is never the text.
#[test]
fn patch_size_follows_the_change_and_only_its_base_restores_the_text() {
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
fn arbitrary_patch_decompresses_or_fails_without_panic() {
    bolero::check!().with_iterations(2_000).for_each(|bytes: &[u8]| {
        decompress(bytes, b"base").ok();
    });
}

/// The messages are part of the answers to operators.
#[test]
fn damaged_patch_fails_with_a_patch_error_inside() {
    let patch = compress(b"text", b"").unwrap();
    let longer = [&5_u32.to_le_bytes(), &patch[4..]].concat();
    let cases = [
        (b"abc".to_vec(), PatchError::Truncated { length: 3 }),
        (vec![255; 9], PatchError::LengthAboveLimit { length: u32::MAX }),
        (longer, PatchError::LengthMismatch { expected: 5, actual: 4 }),
    ];
    for (patch, expected) in cases {
        let error = decompress(&patch, b"").unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::InvalidData);
        assert_eq!(error.get_ref().and_then(|inner| inner.downcast_ref()), Some(&expected));
        assert_eq!(error.to_string(), "a packed text that is damaged");
    }
}
