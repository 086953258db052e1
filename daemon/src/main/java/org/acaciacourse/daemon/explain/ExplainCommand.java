package org.acaciacourse.daemon.explain;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.cli.Command;

/**
 * Prints the path of a request from the logs of all VMs.
 * <p>
 * Not thread safe.
 */
@Parameters(commandDescription = "Explain the outcome of a request: explain ID LOG...")
public final class ExplainCommand implements Command {

	@Parameter(required = true, description = "ID LOG...")
	private List<String> arguments = new ArrayList<>();

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public ResultCode run() {
		if (this.arguments.size() < 2) {
			System.err.println(ResultCode.INVALID_ARGUMENTS.number() + " expected an id and at least one log");
			return ResultCode.INVALID_ARGUMENTS;
		}
		Explanation explanation = new Explanation(this.arguments.get(0));
		for (String log : this.arguments.subList(1, this.arguments.size())) {
			// ISO 8859-1 accepts any bytes, so that corrupted lines do not end the
			// search.
			try (Stream<String> lines = Files.lines(Path.of(log), StandardCharsets.ISO_8859_1)) {
				lines.forEach(explanation::add);
			}
			catch (IOException ex) {
				System.err.println(ResultCode.FILE_UNREADABLE.number() + " cannot read " + log);
				return ResultCode.FILE_UNREADABLE;
			}
		}
		if (explanation.isEmpty()) {
			System.err.println(ResultCode.REQUEST_NOT_FOUND.number() + " " + ResultCode.REQUEST_NOT_FOUND.text());
			return ResultCode.REQUEST_NOT_FOUND;
		}
		System.out.print(explanation.text());
		return ResultCode.OK;
	}

}
