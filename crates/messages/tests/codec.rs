//! The codec on damaged and on valid frames.

use archlink_messages::{
    AcceptedValue, CodecError, ConsensusMessage, HostList, Message, MessageCodec, ProposalNumber, Register,
    VersionDigest,
};
use bytes::{Bytes, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder};

#[test]
fn arbitrary_frame_decodes_or_fails_without_panic() {
    bolero::check!().with_iterations(20_000).for_each(|bytes: &[u8]| {
        let mut buffer = BytesMut::new();
        buffer.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        buffer.extend_from_slice(bytes);
        MessageCodec::default().decode(&mut buffer).ok();
    });
}

#[test]
fn encoded_message_decodes_to_the_same_message() {
    let value = AcceptedValue {
        proposal: ProposalNumber { round: 3, node: 7, nonce: 9 },
        revision: 4,
        value: Bytes::from("text"),
        recent_versions: vec![VersionDigest { version: 3, digest: [5; 16] }],
    };
    let mut buffer = BytesMut::new();
    let message = Message::Consensus(2, ConsensusMessage::Accept(Register::Configuration, value.clone()));
    MessageCodec::default().encode(&message, &mut buffer).unwrap();
    let decoded = MessageCodec::default().decode(&mut buffer).unwrap();
    assert!(
        matches!(decoded, Some(Message::Consensus(2, ConsensusMessage::Accept(Register::Configuration, same))) if same == value)
    );
}

#[test]
fn invalid_bytes_fail_as_invalid_data_with_a_codec_error_inside() {
    const UNKNOWN_VARIANT: u8 = 255;
    let mut frame = BytesMut::from(&[0, 0, 0, 1, UNKNOWN_VARIANT][..]);
    let errors = [
        MessageCodec::default().decode(&mut frame).unwrap_err(),
        HostList::from_bytes(&[UNKNOWN_VARIANT]).unwrap_err(),
    ];
    for error in errors {
        assert_eq!(error.kind(), io::ErrorKind::InvalidData);
        let inner = error.get_ref().and_then(|inner| inner.downcast_ref::<CodecError>());
        assert!(matches!(inner, Some(CodecError::Decode(_))), "{error:?}");
    }
}
