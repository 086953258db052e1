package org.acaciacourse.daemon.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.ini.IniText;
import org.acaciacourse.core.ini.Problem;
import org.acaciacourse.core.manifest.ManifestParser;
import org.acaciacourse.core.settings.Settings;
import org.acaciacourse.daemon.cli.Command;

/**
 * Checks a settings file or a manifest without applying it.
 * <p>
 * Not thread safe.
 */
@Parameters(commandDescription = "Check a settings file or a manifest without applying it")
public final class CheckCommand implements Command {

	private static final String MANIFEST = "manifest";

	@Parameter(description = "FILE", required = true)
	private String file;

	@Parameter(names = "--json", description = "Print one JSON object")
	private boolean json;

	@Override
	public String name() {
		return "check";
	}

	@Override
	public ResultCode run() {
		Output output = new Output(this.json, System.out);
		String text;
		try {
			text = Files.readString(Path.of(this.file));
		}
		catch (IOException ex) {
			return output.fail(ResultCode.FILE_UNREADABLE, "cannot read " + this.file);
		}
		boolean manifest = new IniText(text).sections().containsKey(MANIFEST);
		List<Problem> problems = (manifest) ? ManifestParser.document(text).fold((p) -> p, (d) -> List.of())
				: Settings.parse(text, Settings.sectionsOf(text)).fold((p) -> p, (s) -> List.of());
		if (problems.isEmpty()) {
			return output.print(ResultCode.OK, output.object(ResultCode.OK), "ok\n");
		}
		ResultCode code = (manifest) ? ResultCode.INVALID_MANIFEST : ResultCode.INVALID_SETTINGS;
		return printProblems(output, code, problems);
	}

	/**
	 * Print all problems.
	 * @param output the output to print to
	 * @param code the code of the failure
	 * @param problems the problems
	 * @return the code
	 */
	static ResultCode printProblems(Output output, ResultCode code, List<Problem> problems) {
		ObjectNode object = output.object(code);
		ArrayNode array = object.putArray("problems");
		for (Problem problem : problems) {
			array.addObject()
				.put("line", problem.line())
				.put("section", problem.section())
				.put("key", problem.key())
				.put("text", problem.text());
		}
		String text = problems.stream().map((p) -> code.number() + " " + p + "\n").collect(Collectors.joining());
		return output.print(code, object, text);
	}

}
