package io.dragonflyturn.internal.report;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.model.ReportData;
import io.dragonflyturn.model.ReportPoint;
import io.dragonflyturn.model.ReportRow;
import io.dragonflyturn.model.ReportSeries;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.imageio.ImageIO;
import org.junit.jupiter.api.Test;

class HtmlReportTest {
  private static final ReportRow DERWENT = new ReportRow("derwent", 32, 8, 1, 41, 40, 39, 12.5);
  private static final ReportRow BRUNNER = new ReportRow("brunner", 64, 0, 0, 70, 60, 50, 30.0);
  private static final List<ReportSeries> SERIES =
      List.of(
          new ReportSeries(
              "Work done",
              "accelerator seconds",
              List.of(new ReportPoint(0, 0.0), new ReportPoint(60_000, 90.0))));

  @Test
  void should_summarize_that_all_guarantees_can_be_met() {
    assertThat(ReportText.headline(report(List.of(), DERWENT, BRUNNER)))
        .isEqualTo(
            "Every customer's promised capacity is available at the same time;"
                + " 89.0% of 100 completed jobs finished on time.");
  }

  @Test
  void should_summarize_the_number_of_unmet_guarantees() {
    assertThat(ReportText.headline(report(List.of("8 for brunner"), DERWENT)))
        .isEqualTo(
            "1 promised shape(s) are not available at present;"
                + " 97.5% of 40 completed jobs finished on time.");
  }

  @Test
  void should_list_shortfalls_in_the_file() throws IOException {
    assertThat(HtmlReport.of(report(List.of("8 for brunner"), DERWENT)))
        .contains("<p>8 for brunner</p>");
  }

  @Test
  void should_say_that_no_job_was_completed_instead_of_a_share() {
    ReportRow idle = new ReportRow("derwent", 32, 0, 0, 0, 0, 0, 0.0);

    assertThat(ReportText.headline(report(List.of(), idle))).endsWith("no job was completed.");
  }

  @Test
  void should_embed_valid_plots_in_the_file() throws IOException {
    String html = HtmlReport.of(report(List.of(), DERWENT));

    Matcher images = Pattern.compile("src=\"data:image/png;base64,([^\"]+)\"").matcher(html);
    int count = 0;
    while (images.find()) {
      byte[] png = Base64.getDecoder().decode(images.group(1));
      assertThat(ImageIO.read(new ByteArrayInputStream(png)).getWidth()).isEqualTo(900);
      count++;
    }
    assertThat(count).isEqualTo(SERIES.size());
    assertThat(html).doesNotContain("http://").doesNotContain("https://");
  }

  @Test
  void should_escape_names_of_customers() throws IOException {
    ReportRow markup = new ReportRow("<script>", 1, 0, 0, 0, 0, 0, 0.0);

    assertThat(HtmlReport.of(report(List.of(), markup)))
        .contains("&lt;script&gt;")
        .doesNotContain("<script");
  }

  private static ReportData report(List<String> shortfalls, ReportRow... rows) {
    return new ReportData(0, 60_000, shortfalls, List.of(rows), SERIES);
  }
}
