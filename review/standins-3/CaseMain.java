import java.nio.file.Path;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run. */
final class CaseMain {
  private CaseMain() {}

  /** A case. */
  interface Case {
    /** Returns whether the rule held. */
    boolean holds(Deployment deployment, boolean trouble) throws Exception;
  }

  static void run(String[] arguments, Case subject) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]), Path.of(arguments[1]))) {
      try {
        deployment.record.line("judge", "trouble: " + trouble);
        status = subject.holds(deployment, trouble) ? 0 : 1;
        deployment.record.line("judge", status == 0 ? "the rule held" : "the rule was broken");
      } catch (Exception failure) {
        deployment.record.line("judge", "the case could not run: " + failure);
        failure.printStackTrace();
      }
    } catch (Exception failure) {
      failure.printStackTrace();
    }
    System.exit(status);
  }
}
