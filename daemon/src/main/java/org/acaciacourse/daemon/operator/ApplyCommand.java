package org.acaciacourse.daemon.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.ini.Problem;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.manifest.ManifestParser;
import org.acaciacourse.daemon.cli.Command;
import org.acaciacourse.protocol.generated.ApplyReply;
import org.acaciacourse.protocol.generated.EntryStatus;
import org.acaciacourse.protocol.generated.StatusReply;

/**
 * Submits a manifest and waits until the live entry VMs have confirmed it.
 * <p>
 * Not thread safe.
 */
@Parameters(commandDescription = "Submit a complete manifest")
public final class ApplyCommand implements Command {

	private static final long POLL_INTERVAL_MILLIS = 100;

	@Parameter(description = "FILE", required = true)
	private String file;

	@ParametersDelegate
	private OperatorOptions options = new OperatorOptions();

	@Parameter(names = "--operator", description = "Operator name for the audit log")
	private String operator = System.getProperty("user.name", "operator");

	@Parameter(names = "--wait-seconds", description = "How long to wait until the entry VMs confirm the manifest")
	private int waitSeconds = 10;

	@Parameter(names = "--json", description = "Print one JSON object")
	private boolean json;

	@Override
	public String name() {
		return "apply";
	}

	@Override
	public ResultCode run() throws InterruptedException {
		Output output = new Output(this.json, System.out);
		String text;
		try {
			text = Files.readString(Path.of(this.file));
		}
		catch (IOException ex) {
			return output.fail(ResultCode.FILE_UNREADABLE, "cannot read " + this.file);
		}
		Either<List<Problem>, ManifestDocument> document = ManifestParser.document(text);
		if (document.isLeft()) {
			return CheckCommand.printProblems(output, ResultCode.INVALID_MANIFEST, document.getLeft());
		}
		Either<ResultCode, ControlClient> client = ControlClient.of(this.options);
		if (client.isLeft()) {
			return output.fail(client.getLeft(), "");
		}
		try (ControlClient control = client.get()) {
			return apply(control, document.get(), output);
		}
	}

	private ResultCode apply(ControlClient control, ManifestDocument document, Output output)
			throws InterruptedException {
		long startNanos = System.nanoTime();
		ApplyReply reply = control.apply(document, this.operator);
		ResultCode code = ControlClient.codeOf(reply.getResult());
		ObjectNode object = output.object(code).put("number", reply.getNumber()).put("digest", reply.getDigest());
		if (code != ResultCode.OK) {
			object.put("detail", reply.getResult().getDetail());
			String text = code.number() + " " + reply.getResult().getDetail()
					+ ((reply.getNumber() > 0) ? "; in force: " + reply.getNumber() + " " + reply.getDigest() : "")
					+ "\n";
			return output.print(code, object, text);
		}
		Confirmation confirmation = awaitEntries(control, reply.getNumber(), startNanos);
		object.put("confirmed", confirmation.confirmed()).put("entries", confirmation.entries());
		object.put("millis", confirmation.millis());
		String missing = (confirmation.missing().isEmpty()) ? "" : ", not yet: " + confirmation.missing();
		return output.print(code, object,
				"manifest " + reply.getNumber() + " is in force, confirmed by " + confirmation.confirmed() + " of "
						+ confirmation.entries() + " entries after " + confirmation.millis() + " ms" + missing + "\n");
	}

	private Confirmation awaitEntries(ControlClient control, long number, long startNanos) throws InterruptedException {
		long deadline = startNanos + TimeUnit.SECONDS.toNanos(this.waitSeconds);
		while (true) {
			StatusReply status = control.status();
			List<EntryStatus> entries = (status.isSetEntries()) ? status.getEntries() : List.of();
			String missing = entries.stream()
				.filter((entry) -> entry.getNumber() < number)
				.map(EntryStatus::getVm)
				.collect(Collectors.joining(", "));
			long confirmed = entries.stream().filter((entry) -> entry.getNumber() >= number).count();
			long millis = (System.nanoTime() - startNanos) / 1_000_000;
			if (missing.isEmpty() || System.nanoTime() > deadline) {
				return new Confirmation(confirmed, entries.size(), millis, missing);
			}
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
		}
	}

	/**
	 * How many entry VMs have confirmed the manifest, after how long, and the names of
	 * the others.
	 */
	private record Confirmation(long confirmed, int entries, long millis, String missing) {
	}

}
