org.acaciacourse.daemon.control.ControlCommand
org.acaciacourse.daemon.entry.EntryCommand
