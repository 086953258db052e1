package org.acaciacourse.daemon.operator;

import java.time.Instant;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.cli.Command;
import org.acaciacourse.protocol.generated.AuditRecord;
import org.acaciacourse.protocol.generated.EntryStatus;
import org.acaciacourse.protocol.generated.MemberRecord;
import org.acaciacourse.protocol.generated.StatusReply;

/**
 * Shows the manifest in force, the replicas, the entry VMs and the audit log.
 * <p>
 * Not thread safe.
 */
@Parameters(commandDescription = "Show the manifest in force, replicas, entry VMs and audit log")
public final class StatusCommand implements Command {

	@ParametersDelegate
	private OperatorOptions options = new OperatorOptions();

	@Parameter(names = "--audit", description = "Maximum number of audit log records to print as text")
	private int maxAuditRecords = 10;

	@Parameter(names = "--json", description = "Print one JSON object")
	private boolean json;

	@Override
	public String name() {
		return "status";
	}

	@Override
	public ResultCode run() throws InterruptedException {
		Output output = new Output(this.json, System.out);
		Either<ResultCode, ControlClient> client = ControlClient.of(this.options);
		if (client.isLeft()) {
			return output.fail(client.getLeft(), "");
		}
		try (ControlClient control = client.get()) {
			StatusReply status = control.status();
			ResultCode code = ControlClient.codeOf(status.getResult());
			if (code != ResultCode.OK) {
				return output.fail(code, status.getResult().getDetail());
			}
			return output.print(code, object(output, status), text(status));
		}
	}

	private ObjectNode object(Output output, StatusReply status) {
		ObjectNode object = output.object(ResultCode.OK);
		object.put("vm", status.getVm()).put("role", status.getRole().toLowerCase(Locale.ROOT));
		object.put("term", status.getTerm()).put("commit_index", status.getCommitIndex());
		object.put("number", status.getNumber()).put("digest", status.getDigest());
		object.put("lease_holder", status.getLeaseHolder()).put("fencing_number", status.getFencingNumber());
		object.put("claims", status.getClaims());
		ArrayNode members = object.putArray("replicas");
		for (MemberRecord member : status.getMembers()) {
			members.addObject()
				.put("id", Long.toString(member.getId()))
				.put("vm", member.getVm())
				.put("address", member.getAddress())
				.put("voter", member.isVoter());
		}
		ArrayNode entries = object.putArray("entries");
		for (EntryStatus entry : status.getEntries()) {
			entries.addObject()
				.put("vm", entry.getVm())
				.put("data_centre", entry.getDataCentre())
				.put("number", entry.getNumber())
				.put("leaving", entry.isLeaving());
		}
		ArrayNode records = object.putArray("audit");
		for (AuditRecord record : status.getAudit()) {
			records.addObject()
				.put("at", Instant.ofEpochMilli(record.getAt()).toString())
				.put("operator", record.getOperatorName())
				.put("number", record.getNumber())
				.put("digest", record.getDigest())
				.put("changed_sections", record.getChangedSections());
		}
		return object;
	}

	private String text(StatusReply status) {
		StringBuilder text = new StringBuilder();
		text.append("manifest ").append(status.getNumber()).append(' ').append(status.getDigest()).append('\n');
		text.append("answered by ")
			.append(status.getVm())
			.append(' ')
			.append(status.getRole().toLowerCase(Locale.ROOT));
		text.append(", term ").append(status.getTerm()).append(", entry ").append(status.getCommitIndex()).append('\n');
		for (MemberRecord member : status.getMembers()) {
			text.append("replica ").append(member.getVm()).append(' ').append(member.getAddress());
			text.append((member.isVoter()) ? " voter\n" : " learner\n");
		}
		for (EntryStatus entry : status.getEntries()) {
			text.append("entry ").append(entry.getVm()).append(' ').append(entry.getDataCentre());
			text.append(" manifest ").append(entry.getNumber()).append((entry.isLeaving()) ? " leaving\n" : "\n");
		}
		int from = Math.max(0, status.getAuditSize() - this.maxAuditRecords);
		for (AuditRecord record : status.getAudit().subList(from, status.getAuditSize())) {
			text.append("audit ").append(Instant.ofEpochMilli(record.getAt())).append(' ');
			text.append(record.getOperatorName()).append(" manifest ").append(record.getNumber());
			text.append(", sections changed: ").append(record.getChangedSections()).append('\n');
		}
		return text.toString();
	}

}
