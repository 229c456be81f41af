package io.dragonflyturn.command;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.settings.SettingsCatalogue;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class PagesTest {
  private static final Pattern COMMAND_PATTERN =
      Pattern.compile(
          "(?:^ {4}(?:bin/)?|`(?:bin/)?)dragonflyturn ([a-z][^#`\n]*)", Pattern.MULTILINE);
  private static final Pattern FLAG_PATTERN = Pattern.compile("--[a-z][a-z-]+");
  private static final Pattern LINK_PATTERN = Pattern.compile("\\]\\(([^)#:]+)\\)");
  private static final Pattern METRIC_PATTERN = Pattern.compile("`([a-z]+(?:\\.[a-zA-Z_-]+)+)`");
  private static final String CODE_METRIC_PREFIX = "requests.codes.";

  @Test
  void should_mention_only_commands_that_exist() throws IOException {
    for (String call : calls()) {
      assertThat(CommandCatalogue.find(call.split("\\s+"))).as(call).isNotNull();
    }
  }

  @Test
  void should_mention_only_flags_that_the_command_takes() throws IOException {
    for (String call : calls()) {
      String help = help(CommandCatalogue.find(call.split("\\s+")));
      for (String flag : flags(call)) {
        assertThat(help).as(call).contains(flag);
      }
    }
  }

  @Test
  void should_mention_only_settings_that_exist() throws IOException {
    Set<String> known =
        SettingsCatalogue.roles().stream()
            .flatMap(role -> role.settings().stream())
            .map(setting -> setting.flag())
            .collect(Collectors.toCollection(TreeSet::new));
    known.addAll(List.of("--json", "--help", "--emergency", "--within", "--write"));

    for (Path page : pages()) {
      for (String quoted : matches(Pattern.compile("`(--[a-z][a-z-]+)`"), Files.readString(page))) {
        assertThat(known).as(page.toString()).contains(quoted);
      }
    }
  }

  @Test
  void should_link_only_to_files_that_exist() throws IOException {
    for (Path page : pages()) {
      for (String link : matches(LINK_PATTERN, Files.readString(page))) {
        assertThat(page.resolveSibling(link)).as(page.toString()).exists();
      }
    }
  }

  @Test
  void should_mention_only_metrics_that_the_code_registers() throws IOException {
    String sources = sources();
    List<String> metrics =
        matches(METRIC_PATTERN, Files.readString(Path.of("docs", "OPERATIONS.md"))).stream()
            .map(name -> name.startsWith(CODE_METRIC_PREFIX) ? CODE_METRIC_PREFIX : name)
            .toList();

    assertThat(metrics).isNotEmpty();
    assertThat(metrics).allSatisfy(name -> assertThat(sources).contains("\"" + name));
  }

  private static List<String> calls() throws IOException {
    StringBuilder text = new StringBuilder();
    for (Path page : pages()) {
      text.append(Files.readString(page).replaceAll("\\\\\n\\s+", "")).append('\n');
    }
    return matches(COMMAND_PATTERN, text.toString()).stream()
        .map(String::strip)
        .filter(call -> !call.startsWith("schedules"))
        .toList();
  }

  private static Set<String> flags(String call) {
    return new TreeSet<>(FLAG_PATTERN.matcher(call).results().map(MatchResult::group).toList());
  }

  private static String help(CommandDefinition command) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
    CommandContext context = new CommandContext(stream, stream, Map.of(), Clock.systemUTC());
    new Main(context).run((command.words() + " --help").split(" ", -1));
    return output.toString(StandardCharsets.UTF_8);
  }

  private static List<Path> pages() throws IOException {
    try (Stream<Path> docs = Files.walk(Path.of("docs"))) {
      Stream<Path> root = Stream.of(Path.of("README.md"), Path.of("DEVELOPERS.md"));
      return Stream.concat(root, docs.filter(path -> path.toString().endsWith(".md"))).toList();
    }
  }

  private static String sources() throws IOException {
    StringBuilder text = new StringBuilder();
    try (Stream<Path> files = Files.walk(Path.of("src", "main", "java"))) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        text.append(Files.readString(file));
      }
    }
    return text.toString();
  }

  private static List<String> matches(Pattern pattern, String text) {
    return pattern.matcher(text).results().map(result -> result.group(1)).toList();
  }
}
