org.acaciacourse.daemon.control.ControlCommand
