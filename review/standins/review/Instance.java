package review;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** An instance of the system: a process, started with the command of the deploy file. */
final class Instance implements AutoCloseable {
  private final Path repository;
  private final Path settings;
  private final Path log;
  final String name;
  final String ip;
  private Process process;

  Instance(
      Path repository,
      Path folder,
      int number,
      int group,
      String zone,
      String zones,
      int storePort) {
    this.repository = repository;
    name = "instance-" + number;
    ip = "127." + (100 + group / 200) + '.' + (1 + group % 200) + '.' + (number + 1);
    String seed = ip.substring(0, ip.lastIndexOf('.')) + ".1:8526";
    settings = folder.resolve(name + ".yaml");
    log = folder.resolve(name + ".log");
    String text =
        """
        nodeName: "%s"
        role: "instance"
        machineClass: "front"
        ip: "%s"
        zone: "%s"
        zones: {%s}
        listen: {frontend: "%s:8521", ready: "%s:8523", control: "%s:8526"}
        portRange: [7000, 7015]
        seeds: ["%s"]
        bootstrap: true
        limits: {cpuShare: 0.75, cores: 1, memoryMb: 430, maxFds: 4100, linkMbps: 1000.0}
        heartbeatMs: 1500
        faultTolerance: {machines: 1, zones: 1, regions: 0}
        bounds: {stableWindowMs: 3000, ackMs: 4000, drainMs: 2000, graceS: 6, configApplyMs: 2000,
          holdMaxMs: 6000, stopMs: 200, gangMs: 3000, cancel_ms: 3000, visible_ms: 3000}
        orders: "call"
        platform: {address: "127.0.0.1:%d", form: "log", writesPerS: 600, readsPerS: 2000}
        """
            .formatted(name, ip, zone, zones, ip, ip, ip, seed, storePort);
    try {
      Files.writeString(settings, text);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  void start() {
    try {
      String deployFile = Files.readString(repository.resolve("deploy/system.toml"));
      String command = deployFile.replaceAll("(?s).*\\nrun = \"([^\"]*)\".*", "$1");
      ProcessBuilder builder = new ProcessBuilder(List.of(command.split(" ")));
      builder.directory(repository.toFile());
      builder.environment().put("DRAGONFLYTURN_NODE_FILE", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
      process = builder.start();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  boolean isReady() {
    return Http.call(ip, 8523, "GET", "/v1/readiness", "", "", "", 500).status() == 200;
  }

  /** Kills the process with SIGKILL and waits for its end. */
  void kill() {
    close();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the lines of the log with a text, for the record. */
  List<String> logLines(String text) {
    try {
      return Files.readAllLines(log, StandardCharsets.ISO_8859_1).stream()
          .filter(line -> line.contains(text))
          .toList();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
