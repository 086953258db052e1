package org.acaciacourse.core.path;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PathLinksTests {

	private static final long SECOND = 1_000_000_000L;

	private final List<String> log = new ArrayList<>();

	private final PathLinks path = new PathLinks(new PathLinks.Listener() {

		@Override
		public void linkLost(String endpoint, LinkSign sign, int lost, int known) {
			PathLinksTests.this.log.add("lost " + endpoint + " " + sign + " " + lost + "/" + known);
		}

		@Override
		public void linkRegained(String endpoint, long lostNanos) {
			PathLinksTests.this.log.add("regained " + endpoint + " after " + lostNanos / SECOND);
		}

		@Override
		public void pathDoubted(int lost, int known) {
			PathLinksTests.this.log.add("doubted " + lost + "/" + known);
		}

	});

	private EndpointLink link(String endpoint) {
		return this.path.link(endpoint);
	}

	@Nested
	class Trust {

		@Test
		void newLinkIsTrusted() {
			assertThat(link("a").isTrusted()).isTrue();
		}

		@Test
		void lostLinkIsTrustedAgainOnceItCarriesData() {
			link("a").lost(LinkSign.SILENT, SECOND);
			assertThat(link("a").isTrusted()).isFalse();
			link("a").alive(3 * SECOND);
			assertThat(link("a").isTrusted()).isTrue();
		}

		@Test
		void oneLostLinkLeavesTheOthersTrusted() {
			link("b").alive(0);
			link("a").lost(LinkSign.REFUSED, SECOND);
			assertThat(link("b").isTrusted()).isTrue();
			assertThat(PathLinksTests.this.path.isDoubted(SECOND)).isFalse();
		}

		// Guards against kept connections that are used after the VM lost all its links.
		@Test
		void twoLostLinksMakeAllOthersProveThemselves() {
			link("c").alive(0);
			link("a").lost(LinkSign.SILENT, SECOND);
			link("b").lost(LinkSign.SILENT, SECOND + 1);
			assertThat(link("c").isTrusted()).isFalse();
			assertThat(PathLinksTests.this.path.isDoubted(SECOND + 1)).isTrue();
			link("c").alive(SECOND + 2);
			assertThat(link("c").isTrusted()).isTrue();
		}

		@Test
		void lossesFarApartAreNotRelated() {
			link("c").alive(0);
			link("a").lost(LinkSign.SILENT, SECOND);
			link("b").lost(LinkSign.SILENT, 4 * SECOND);
			assertThat(link("c").isTrusted()).isTrue();
		}

		@Test
		void pathIsNoLongerDoubtedOnceItsLinksAreBack() {
			link("a").lost(LinkSign.RESET, SECOND);
			link("b").lost(LinkSign.RESET, SECOND);
			link("a").alive(SECOND + 1);
			assertThat(PathLinksTests.this.path.isDoubted(SECOND + 1)).isFalse();
		}

	}

	@Nested
	class Log {

		@Test
		void tellsEachChangeOnce() {
			link("a").lost(LinkSign.TIMEOUT, 0);
			link("a").lost(LinkSign.REFUSED, 1);
			link("b").lost(LinkSign.SILENT, 2);
			link("a").alive(2 * SECOND);
			link("a").alive(3 * SECOND);
			assertThat(PathLinksTests.this.log)
				.containsExactly("lost a TIMEOUT 1/1", "lost b SILENT 2/2", "doubted 2/2", "regained a after 2")
				.inOrder();
		}

	}

}
