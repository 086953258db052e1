package org.acaciacourse.core.consensus;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes the payload of {@link LogEntry.Kind#MEMBERSHIP} entries in the
 * format of {@link DataOutputStream}. Both directions work in memory only.
 * <p>
 * Immutable and thread safe.
 */
public final class MembershipCodec {

	private MembershipCodec() {
	}

	/**
	 * Encode a membership.
	 * @param membership the membership
	 * @return the payload
	 */
	public static byte[] encode(Membership membership) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeInt(membership.members().size());
			for (Member member : membership.members()) {
				out.writeLong(member.id().value());
				out.writeUTF(member.vm());
				out.writeUTF(member.address());
				out.writeBoolean(member.voter());
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Decode a membership.
	 * @param payload the payload
	 * @return the membership
	 */
	public static Membership decode(byte[] payload) {
		List<Member> members = new ArrayList<>();
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
			int count = in.readInt();
			for (int i = 0; i < count; i++) {
				members.add(new Member(new ReplicaId(in.readLong()), in.readUTF(), in.readUTF(), in.readBoolean()));
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return new Membership(members);
	}

}
