use strict;
use warnings;
use lib 'review/lib';
use Mesh;

my $trouble = ($ENV{TROUBLE} // '1') ne '0';
my $mesh = Mesh->new(case => 'review/1');

my $front = $mesh->machine('status');
my $back = $mesh->machine('orders');
my $status = $mesh->start_target($front, id => 'i-status-1', service => 'status');
my $orders = $mesh->start_target($back, id => 'i-orders-1', service => 'orders');
$mesh->put_config(Mesh::config(7, ['orders', 'status'],
	{ name => 'r-upload', host => 'up.example', prefix => '/audio/',
	    kind => 'upload', service => 'orders' }));
$mesh->register($_, 'ready') for $status, $orders;
$mesh->start_daemon($_) for $front, $back;
$mesh->await_ready($front, $back);
$mesh->rest(4);    # in touch

# The client stops once in the middle of its upload.
my $r = $mesh->request($front, path => '/audio/1', host => 'up.example',
	key => 'key-of-tenant-a', body => 'x' x 100_000, deadline_ms => 5000,
	pause_s => 2.8);
$mesh->rest(0.3);

# The target leaves, its daemon is told to stop, and its address goes to a
# target of the service `status` once reuse_after_s has passed.
if ($trouble) {
	$mesh->end_target($orders);
	$mesh->remove('servers/i-orders-1');
	$mesh->signal($back, 'TERM');
	$mesh->after($Mesh::BOUNDS{reuse_after_s} + 0.1, sub {
		my $t = $mesh->start_target($back, id => 'i-status-2', service => 'status');
		$mesh->register($t, 'ready');
	});
}
$mesh->until(10, sub { defined $r->{status} }) or $mesh->unrun('no end');
my @wrong = grep { $_->{service} ne 'orders' } $mesh->runs_of($r->{id});
for (@wrong) {
	$mesh->note('BROKEN: %s runs at %s of %s; the configuration sends it to orders alone',
		$r->{id}, $_->{target}, $_->{service});
}
if (!$trouble && $r->{status} ne '200') { $mesh->unrun("without trouble: $r->{status}") }
$mesh->note(@wrong ? 'the rule was broken' : 'the rule held');
$mesh->stop;
exit(@wrong ? 1 : 0);
