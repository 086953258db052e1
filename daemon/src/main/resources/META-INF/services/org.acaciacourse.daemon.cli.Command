org.acaciacourse.daemon.control.ControlCommand
org.acaciacourse.daemon.entry.EntryCommand
org.acaciacourse.daemon.operator.ApplyCommand
org.acaciacourse.daemon.operator.StatusCommand
org.acaciacourse.daemon.operator.CompareCommand
org.acaciacourse.daemon.operator.CheckCommand
org.acaciacourse.daemon.operator.VersionCommand
org.acaciacourse.daemon.explain.ExplainCommand
