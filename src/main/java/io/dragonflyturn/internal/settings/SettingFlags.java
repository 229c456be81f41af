package io.dragonflyturn.internal.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.ConfigElement;
import org.kohsuke.args4j.spi.FieldSetter;
import org.kohsuke.args4j.spi.OptionImpl;
import org.kohsuke.args4j.spi.Setter;
import org.kohsuke.args4j.spi.StringOptionHandler;

/**
 * Parses the flags of a process with args4j and continues after a problem to collect all of them.
 */
final class SettingFlags {
  private static final String FLAG_PREFIX = "--";

  private final SettingsRole role;
  private final Map<String, String> texts = new HashMap<>();
  private final List<SettingProblem> problems = new ArrayList<>();

  SettingFlags(SettingsRole role) {
    this.role = role;
  }

  /** Returns the texts of the flags, keyed by the name of the setting. */
  Map<String, String> texts() {
    return texts;
  }

  /** Returns a problem for each unknown flag, flag without a value, and stray argument. */
  List<SettingProblem> problems() {
    return problems;
  }

  void parse(String[] arguments) {
    CmdLineParser parser = createParser();
    for (List<String> group : argumentGroups(arguments)) {
      try {
        parser.parseArgument(group);
      } catch (CmdLineException invalid) {
        problems.add(problem(group));
      }
    }
  }

  private CmdLineParser createParser() {
    CmdLineParser parser = new CmdLineParser(new Object());
    for (Setting<?> setting : role.settings()) {
      parser.addOption(new TextSetter(setting.name(), texts), createOption(setting));
    }
    return parser;
  }

  private static Option createOption(Setting<?> setting) {
    ConfigElement element = new ConfigElement();
    element.name = setting.flag();
    element.usage = setting.description();
    element.metavar = setting.unit();
    element.handler = StringOptionHandler.class.getName();
    try {
      return new OptionImpl(element);
    } catch (ClassNotFoundException exception) {
      throw new IllegalStateException(exception);
    }
  }

  /** Groups each flag with its value, so that one invalid flag does not affect the others. */
  private static List<List<String>> argumentGroups(String[] arguments) {
    List<List<String>> argumentGroups = new ArrayList<>();
    int next = 0;
    while (next < arguments.length) {
      String argument = arguments[next];
      next++;
      int equals = argument.indexOf('=');
      if (!argument.startsWith(FLAG_PREFIX)) {
        argumentGroups.add(List.of(argument));
      } else if (equals > 0) {
        argumentGroups.add(List.of(argument.substring(0, equals), argument.substring(equals + 1)));
      } else if (next < arguments.length && !arguments[next].startsWith(FLAG_PREFIX)) {
        argumentGroups.add(List.of(argument, arguments[next]));
        next++;
      } else {
        argumentGroups.add(List.of(argument));
      }
    }
    return argumentGroups;
  }

  private SettingProblem problem(List<String> group) {
    String flag = group.getFirst();
    for (Setting<?> setting : role.settings()) {
      if (setting.flag().equals(flag)) {
        return new SettingProblem(flag, "", setting.allowed());
      }
    }
    return new SettingProblem(
        flag,
        group.size() > 1 ? group.getLast() : "",
        "no such setting; 'dragonflyturn " + role.name() + " --help' lists the known ones");
  }

  /** Stores the text of one flag in the map. */
  private record TextSetter(String name, Map<String, String> texts) implements Setter<String> {
    @Override
    public void addValue(String value) {
      texts.put(name, value);
    }

    @Override
    public Class<String> getType() {
      return String.class;
    }

    @Override
    public boolean isMultiValued() {
      return false;
    }

    @Override
    public FieldSetter asFieldSetter() {
      throw new UnsupportedOperationException();
    }

    @Override
    public java.lang.reflect.AnnotatedElement asAnnotatedElement() {
      return TextSetter.class;
    }
  }
}
