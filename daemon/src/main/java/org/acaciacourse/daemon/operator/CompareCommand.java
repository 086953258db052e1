package org.acaciacourse.daemon.operator;

import java.util.List;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.cli.Command;
import org.acaciacourse.protocol.generated.ClassReport;
import org.acaciacourse.protocol.generated.StatusReply;

/**
 * Compares the results of policies side by side for each class.
 * <p>
 * Not thread safe.
 */
@Parameters(commandDescription = "Compare policies side by side for each class")
public final class CompareCommand implements Command {

	private static final String ROW = "%-20s %-20s %9s %11s %17s %9s %9s %14s %9s%n";

	@ParametersDelegate
	private OperatorOptions options = new OperatorOptions();

	@Parameter(names = "--json", description = "Print one JSON object")
	private boolean json;

	@Override
	public String name() {
		return "compare";
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
			List<ClassReport> reports = status.getEntries().stream().flatMap((e) -> e.getReports().stream()).toList();
			List<ClassComparison> rows = ClassComparison.of(reports);
			return output.print(code, object(output, rows), text(rows));
		}
	}

	private static ObjectNode object(Output output, List<ClassComparison> rows) {
		ObjectNode object = output.object(ResultCode.OK);
		ArrayNode array = object.putArray("rows");
		for (ClassComparison row : rows) {
			array.addObject()
				.put("class", row.requestClass())
				.put("policy", row.policy())
				.put("sample", row.sample())
				.put("attainment", row.attainment())
				.put("attainment_low", row.interval().low())
				.put("attainment_high", row.interval().high())
				.put("goodput_requests", row.met())
				.put("refused", row.refused())
				.put("tokens_delivered", row.tokensDelivered())
				.put("tokens_wasted", row.tokensWasted());
		}
		return object;
	}

	private static String text(List<ClassComparison> rows) {
		StringBuilder text = new StringBuilder(String.format(Locale.ROOT, ROW, "class", "policy", "sample",
				"attainment", "95 % interval", "goodput", "refused", "tokens", "wasted"));
		for (ClassComparison row : rows) {
			String interval = String.format(Locale.ROOT, "%.4f-%.4f", row.interval().low(), row.interval().high());
			text.append(String.format(Locale.ROOT, ROW, row.requestClass(), row.policy(), row.sample(),
					String.format(Locale.ROOT, "%.4f", row.attainment()), interval, row.met(), row.refused(),
					row.tokensDelivered(), String.format(Locale.ROOT, "%.2f%%", 100 * row.wastedShare())));
		}
		return text.toString();
	}

}
